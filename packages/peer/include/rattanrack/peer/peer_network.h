#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanrack::peer {

/// Sends and receives one-way messages between nodes over Cap'n Proto RPC, with an event loop on its own thread. A
/// message may be lost, but is never received more often than it was sent. Messages to one peer keep their order while
/// the connection lasts. The queue for each peer is bounded; when it is full, the oldest messages are dropped.
///
///     const auto onMessage = [&](peer::Message message) { post(std::move(message)); };
///     BOOST_LEAF_AUTO(network, PeerNetwork::create("127.0.0.1:7100", onMessage));
///     network->send("127.0.0.1:7101", heartbeat);
class PeerNetwork {
public:
    using OnMessage = std::function<void(Message)>; ///< Called on the network's own thread; must not block.

    /// Listens on `listenAddress` ("ip:port"). Errors: InvalidArgument, Unavailable (port in use).
    static Result<std::unique_ptr<PeerNetwork>> create(const std::string& listenAddress, OnMessage onMessage);

    /// Stops the thread and closes all connections.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    /// Queues a message; never blocks. Connects when needed, and retries an unreachable peer with backoff.
    void send(const std::string& address, Message message);

    /// Closes the connection to a peer and drops the messages queued for it.
    void disconnect(const std::string& address);

    /// Bytes sent and received since creation, to check the limit on control traffic.
    struct Traffic {
        std::uint64_t bytesSent { 0 };
        std::uint64_t bytesReceived { 0 };
    };
    Traffic traffic() const;

    struct Connections {
        std::size_t inbound { 0 }; ///< Open now.
        std::uint64_t refused { 0 }; ///< Inbound ones since creation, because of the limit.
        std::size_t limit { 0 }; ///< In each direction.
    };
    Connections connections() const;

    /// Derives the limit of connections from the number of nodes. The descriptors of the process bound it; an error is
    /// logged if they don't suffice.
    void setNodeCount(std::size_t nodes);

private:
    struct State;
    explicit PeerNetwork(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::peer
