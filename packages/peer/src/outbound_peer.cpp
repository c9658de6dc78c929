#include "outbound_peer.h"

#include "codec.h"
#include "network_limits.h"

#include "rattanrack/base/log.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <utility>

namespace rattanrack::peer {

namespace {

kj::Duration toKj(Duration duration) { return duration.count() * kj::MICROSECONDS; }

} // namespace

class OutboundPeer::Connection {
public:
    Connection(kj::Own<kj::AsyncIoStream> stream, ByteCounters& counters)
        : m_stream(kj::mv(stream), counters, StreamLimits { maxConnectionBytes })
        , m_network(m_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
        , m_system(capnp::makeRpcClient(m_network))
        , m_service(bootstrap().castAs<wire::PeerService>())
    {
    }

    wire::PeerService::Client& service() { return m_service; }
    bool mustRotate() const { return m_stream.bytesSent() >= connectionRotationBytes; }

private:
    capnp::Capability::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto vatId = message.initRoot<capnp::rpc::twoparty::VatId>();
        vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
        return m_system.bootstrap(vatId);
    }

    CountingStream m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
    wire::PeerService::Client m_service;
};

OutboundPeer::OutboundPeer(OutboundContext context, std::string name, SocketAddress address)
    : m_context(context)
    , m_name(std::move(name))
    , m_address(context.network.getSockaddr(address.socketAddress(), address.size))
    , m_tasks(*this)
{
}

OutboundPeer::~OutboundPeer() = default;

void OutboundPeer::send(Message message)
{
    const std::size_t bytes = encodedSizeBound(message);
    if (bytes > maxBatchBytes) {
        logEvent("peer.message_too_large", { { "peer", m_name }, { "bytes", bytes } }, LogLevel::Warning);
        return;
    }
    m_queue.push_back({ std::move(message), bytes, Deadline::after(now(), maxQueueTime) });
    m_queuedBytes += bytes;
    while (m_queue.size() > maxQueuedMessages || m_queuedBytes > maxQueuedBytes)
        dropFront();
    pump();
}

void OutboundPeer::dropFront()
{
    m_queuedBytes -= m_queue.front().bytes;
    m_queue.pop_front();
}

void OutboundPeer::dropExpired()
{
    while (!m_queue.empty() && m_queue.front().deadline.hasPassed(now()))
        dropFront();
}

void OutboundPeer::pump()
{
    if (m_isSending)
        return;
    dropExpired();
    if (m_queue.empty())
        return;
    m_isSending = true;
    auto sent = kj::evalLater([this] { return sendBatch(); });
    auto settled = sent.then(
        [this]() -> kj::Promise<void> {
            m_backoff = Duration::zero();
            return kj::READY_NOW;
        },
        [this](kj::Exception&& exception) { return backOff(exception); });
    m_tasks.add(settled.then([this] {
        m_isSending = false;
        pump();
    }));
}

kj::Promise<void> OutboundPeer::backOff(const kj::Exception& exception)
{
    logEvent(
        "peer.send_failed", { { "peer", m_name }, { "detail", exception.getDescription().cStr() } }, LogLevel::Debug);
    m_connection.reset();
    return m_context.timer.afterDelay(toKj(nextBackoff()));
}

kj::Promise<void> OutboundPeer::sendBatch()
{
    if (!m_connection || m_connection->mustRotate())
        return connect().then([this] { return sendBatch(); });
    dropExpired();
    if (m_queue.empty())
        return kj::READY_NOW;
    const std::size_t count = batchSize();
    auto request = m_connection->service().deliverRequest();
    auto messages = request.initMessages(static_cast<unsigned>(count));
    for (unsigned i = 0; i < count; ++i) {
        encode(m_queue.front().message, messages[i]);
        dropFront();
    }
    return m_context.timer.timeoutAfter(toKj(deliveryTimeout), request.send().ignoreResult());
}

kj::Promise<void> OutboundPeer::connect()
{
    m_connection.reset();
    return m_context.timer.timeoutAfter(toKj(connectTimeout), m_address->connect())
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
            m_connection = std::make_unique<Connection>(kj::mv(stream), m_context.counters);
        });
}

std::size_t OutboundPeer::batchSize() const
{
    std::size_t count = 0;
    std::size_t bytes = 0;
    for (const QueuedMessage& queued : m_queue) {
        bytes += queued.bytes;
        if (count == maxBatchMessages || (count > 0 && bytes > maxBatchBytes))
            break;
        ++count;
    }
    return count;
}

Duration OutboundPeer::nextBackoff()
{
    m_backoff = std::clamp(m_backoff * 2, minBackoff, maxBackoff);
    std::uniform_int_distribution<Duration::rep> jittered(m_backoff.count() / 2, m_backoff.count());
    return Duration { jittered(m_context.random) };
}

TimePoint OutboundPeer::now() const
{
    const auto sinceOrigin = m_context.timer.now() - kj::origin<kj::TimePoint>();
    return TimePoint { Duration { sinceOrigin / kj::MICROSECONDS } };
}

void OutboundPeer::taskFailed(kj::Exception&& exception)
{
    logEvent("peer.outbound_failed", { { "peer", m_name }, { "detail", exception.getDescription().cStr() } },
        LogLevel::Warning);
    m_isSending = false;
}

} // namespace rattanrack::peer
