#pragma once

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>

namespace rattanrack::node {

/// An httplib server whose connections can be closed. Connections of httplib itself poll for the next request a hundred
/// times a second, and stay open until their idle timeout even if the server has stopped.
class ConnectionServer final : public httplib::Server {
public:
    ConnectionServer();
    ~ConnectionServer() override;

    /// From now on each response closes its connection.
    void startDraining() { m_isDraining = true; }

    /// Closes connections on which no request has arrived; a connection that serves a request is closed after the
    /// response.
    void endIdleConnections();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool awaitRequest(socket_t socket) const;

    std::atomic<bool> m_isDraining { false };
    std::array<int, 2> m_stopPipe { -1, -1 }; ///< Becomes readable for all connections once it holds a byte.
};

} // namespace rattanrack::node
