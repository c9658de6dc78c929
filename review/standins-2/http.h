#pragma once

#include "record.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

/// The part of HTTP/1.1 that the stand-ins need, over blocking sockets on 127.0.0.1.
namespace review {

struct HttpMessage {
    std::string method; ///< Of a request.
    std::string path; ///< Of a request, without the query.
    std::map<std::string, std::string> query; ///< Decoded.
    std::map<std::string, std::string> headers; ///< By lower-case name.
    std::string body;
    int status { 200 }; ///< Of a response; 0: the connection ends without one.
};

/// Returns a port that was free a moment ago.
int freePort();

/// Serves each connection on a thread of its own. Connections are kept open.
class HttpServer {
public:
    using Handler = std::function<HttpMessage(const HttpMessage&)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// While closed, connections are reset as soon as they are accepted. Closing ends all open connections.
    void setClosed(bool isClosed);

private:
    void accept();
    void serve(int socket);

    Handler m_handler;
    int m_port { 0 };
    int m_listener { -1 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_connections { 0 };
    std::mutex m_mutex;
    bool m_isClosed { false };
    std::set<int> m_sockets;
    std::thread m_thread;
};

/// One connection to a server.
class HttpClient {
public:
    explicit HttpClient(int port)
        : m_port(port)
    {
    }
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Connects if necessary. Empty: no complete response within `timeout`; the connection is closed then.
    std::optional<HttpMessage> exchange(const HttpMessage& request, Milliseconds timeout);

    void close();

private:
    bool send(const HttpMessage& request, Milliseconds timeout);
    std::optional<HttpMessage> receive(Milliseconds timeout);

    int m_port;
    int m_socket { -1 };
};

} // namespace review
