#pragma once

#include "rattanrack/base/error.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace rattanrack::standin {

/// An HTTP server on its own thread, with at most `maxConnections` more threads, started when needed. Answers repeat
/// the caller's exchange number. `stop` refuses new connections at once.
///
///     BOOST_LEAF_AUTO(server, HttpServer::create("127.0.0.1:7000", 64, [](httplib::Server& routes) { ... }));
class HttpServer {
public:
    using AddRoutes = std::function<void(httplib::Server&)>;

    /// Port 0 takes a free one. Errors: InvalidArgument (address), Unavailable (port in use).
    static Result<std::unique_ptr<HttpServer>> create(
        const std::string& address, std::size_t maxConnections, const AddRoutes& addRoutes);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// "ip:port" at which it listens.
    const std::string& address() const { return m_address; }

    /// Listens no more; exchanges under way go on.
    void stop();

private:
    HttpServer() = default;

    std::string m_address;
    httplib::Server m_server;
    std::thread m_thread;
};

/// Cuts the connection in place of an answer.
void cutAnswer(httplib::Response&);

/// Sends `body`, but ends the connection after half of it.
void truncateAnswer(httplib::Response&, const std::string& body);

/// Sends `body`, and the whole answer once more behind it.
void doubleAnswer(httplib::Response&, const std::string& body);

void answerJson(httplib::Response&, const std::string& body);
void answerStatus(httplib::Response&, int status, const std::string& text);

} // namespace rattanrack::standin
