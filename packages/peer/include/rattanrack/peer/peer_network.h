#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanrack::peer {

/// One-way messages between nodes over Cap'n Proto RPC. One thread of its own runs the event loop. A message may be
/// lost, and may arrive twice only if the sender sends it twice; messages to one peer keep their order while its
/// connection lasts. What is queued for one peer is bounded; beyond the bound the oldest is dropped.
///
///     BOOST_LEAF_AUTO(network, PeerNetwork::create("127.0.0.1:7100", [&](peer::Message message) {
///     post(std::move(message)); })); network->send("127.0.0.1:7101", heartbeat);
class PeerNetwork {
public:
    using OnMessage = std::function<void(Message)>; ///< Called on the network's own thread; must not block.

    /// Listens on `listenAddress` ("ip:port"). Errors: InvalidArgument, Unavailable (port in use).
    static Result<std::unique_ptr<PeerNetwork>> create(const std::string& listenAddress, OnMessage onMessage);

    /// Ends the thread and closes all connections.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    /// Queues a message; never blocks. Connects when needed, again after a pause when the peer was unreachable.
    void send(const std::string& address, Message message);

    /// Forgets a peer and closes its connection.
    void disconnect(const std::string& address);

    /// Bytes sent and received since creation, for the control budget.
    struct Traffic {
        std::uint64_t bytesSent { 0 };
        std::uint64_t bytesReceived { 0 };
    };
    Traffic traffic() const;

private:
    struct State;
    explicit PeerNetwork(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::peer
