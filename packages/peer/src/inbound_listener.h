#pragma once

#include "counting_stream.h"

#include "rattanrack/peer/peer_network.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>

namespace rattanrack::peer {

/// Accepts connections of other nodes and passes their messages to a handler. Used on the network's thread only.
class InboundListener final : private kj::TaskSet::ErrorHandler {
public:
    InboundListener(kj::Own<kj::ConnectionReceiver> receiver, ByteCounters& counters, PeerNetwork::OnMessage onMessage);
    ~InboundListener();

    /// Closes a connection in a later turn of the event loop.
    void close(std::uint64_t connectionId);

    const PeerNetwork::OnMessage& onMessage() const { return m_onMessage; }

private:
    class Connection;

    void taskFailed(kj::Exception&& exception) override;
    kj::Promise<void> acceptLoop();
    void accept(kj::Own<kj::AsyncIoStream> stream);

    kj::Own<kj::ConnectionReceiver> m_receiver;
    ByteCounters& m_counters;
    PeerNetwork::OnMessage m_onMessage;
    std::uint64_t m_nextId { 0 };
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    kj::TaskSet m_tasks;
};

} // namespace rattanrack::peer
