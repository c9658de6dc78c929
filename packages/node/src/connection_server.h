#pragma once

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>

namespace rattanrack::node {

/// The library's server with connections that end when they are told to. The library's own look for the next request a
/// hundred times a second, and stay open until they have been idle for long, whether the server has stopped or not.
class ConnectionServer final : public httplib::Server {
public:
    ConnectionServer();
    ~ConnectionServer() override;

    /// From now on each answer closes its connection.
    void leave() { m_isLeaving = true; }

    /// Ends connections on which no request has arrived; those that serve one end after its answer.
    void endIdleConnections();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool awaitRequest(socket_t socket) const;

    std::atomic<bool> m_isLeaving { false };
    std::array<int, 2> m_stopPipe { -1, -1 }; ///< Readable for all connections once it holds a byte.
};

} // namespace rattanrack::node
