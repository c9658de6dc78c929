#pragma once

#include "counting_stream.h"
#include "socket_address.h"

#include "rattanrack/base/time.h"
#include "rattanrack/peer/messages.h"

#include <kj/async-io.h>

#include <deque>
#include <memory>
#include <random>
#include <string>

namespace rattanrack::peer {

/// Objects of the `PeerNetwork` that an outbound peer uses; they outlive the peer.
struct OutboundContext {
    kj::Network& network;
    kj::Timer& timer;
    ByteCounters& counters;
    std::minstd_rand& random;
};

/// The bounded message queue and the connection to one peer. Used on the network's thread only.
class OutboundPeer final : private kj::TaskSet::ErrorHandler {
public:
    OutboundPeer(OutboundContext context, std::string name, SocketAddress address);
    ~OutboundPeer();

    /// Queues a message. Queued messages are sent in batches, each once the peer has acknowledged the previous one.
    void send(Message message);

private:
    class Connection;
    struct QueuedMessage {
        Message message;
        std::size_t bytes { 0 };
        Deadline deadline;
    };

    void taskFailed(kj::Exception&& exception) override;
    void dropFront();
    void dropExpired();
    void pump();
    kj::Promise<void> backOff(const kj::Exception& exception);
    kj::Promise<void> sendBatch();
    kj::Promise<void> connect();
    std::size_t batchSize() const;
    Duration nextBackoff();
    TimePoint now() const;

    OutboundContext m_context;
    std::string m_name;
    kj::Own<kj::NetworkAddress> m_address;
    std::deque<QueuedMessage> m_queue;
    std::size_t m_queuedBytes { 0 };
    Duration m_backoff {};
    bool m_isSending { false };
    std::unique_ptr<Connection> m_connection;
    kj::TaskSet m_tasks;
};

} // namespace rattanrack::peer
