#pragma once

#include "rattanrack/base/error.h"

#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
}

namespace rattanrack::node {

/// Limits of an HTTP server.
struct HttpLimits {
    std::size_t threads { 64 }; ///< Connections that are served concurrently.
    std::size_t maxBodyBytes { 1U << 20U };
};

/// An HTTP server with threads of its own.
class HttpServer {
public:
    /// Listens on `host` (an IP address) and `port` after `addRoutes` has been called. Errors: Unavailable (the address
    /// is in use).
    static Result<std::unique_ptr<HttpServer>> create(const std::string& host, int port, const HttpLimits& limits,
        const std::function<void(httplib::Server&)>& addRoutes);

    /// Stops listening, and waits for the calls in progress.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// From now on each response closes its connection, so that callers reconnect elsewhere.
    void startDraining();

    /// Accepts no new connections and no further calls on open ones. Returns when the calls in progress have ended.
    void stop();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::node
