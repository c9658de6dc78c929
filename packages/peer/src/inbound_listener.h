#pragma once

#include "counting_stream.h"

#include "rattanrack/peer/peer_network.h"

#include "rattanrack/base/time.h"

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>

namespace rattanrack::peer {

/// Inbound connections of a network. Written by the network's thread but for the limit, read by others.
struct InboundCounters {
    std::atomic<std::size_t> limit { 0 }; ///< Of open connections.
    std::atomic<std::size_t> open { 0 };
    std::atomic<std::uint64_t> refused { 0 }; ///< Since creation, because of the limit.
};

/// Accepts connections of other nodes and passes their messages to a handler. Used on the network's thread only.
class InboundListener final : private kj::TaskSet::ErrorHandler {
public:
    InboundListener(kj::Own<kj::ConnectionReceiver> receiver, ByteCounters& bytes, InboundCounters& counters,
        PeerNetwork::OnMessage onMessage);
    ~InboundListener();

    /// Closes a connection in a later turn of the event loop.
    void close(std::uint64_t connectionId);

    const PeerNetwork::OnMessage& onMessage() const { return m_onMessage; }

private:
    class Connection;

    void taskFailed(kj::Exception&& exception) override;
    kj::Promise<void> acceptLoop();
    void accept(kj::Own<kj::AsyncIoStream> stream);
    void reportRefused();

    kj::Own<kj::ConnectionReceiver> m_receiver;
    ByteCounters& m_bytes;
    InboundCounters& m_counters;
    PeerNetwork::OnMessage m_onMessage;
    std::uint64_t m_nextId { 0 };
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    SystemClock m_clock;
    Deadline m_nextReport; ///< Of refused connections.
    std::uint64_t m_reportedRefusals { 0 };
    kj::TaskSet m_tasks;
};

} // namespace rattanrack::peer
