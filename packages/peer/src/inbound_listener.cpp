#include "inbound_listener.h"

#include "codec.h"
#include "network_limits.h"

#include "rattanrack/base/log.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

namespace rattanrack::peer {

namespace {

constexpr Duration refusalReportPeriod = std::chrono::seconds { 1 };

class Service final : public wire::PeerService::Server {
public:
    Service(InboundListener& inbound, std::uint64_t connectionId)
        : m_inbound(inbound)
        , m_connectionId(connectionId)
    {
    }

protected:
    kj::Promise<void> deliver(DeliverContext context) override
    {
        const bool isWellFormed = handle(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(deliverAll(context.getParams().getMessages()));
                return true;
            },
            [](const Error&) { return false; });
        if (!isWellFormed)
            m_inbound.close(m_connectionId);
        context.releaseParams();
        return kj::READY_NOW;
    }

private:
    Result<void> deliverAll(capnp::List<wire::Message>::Reader messages)
    {
        if (messages.size() > maxBatchMessages)
            return fail(ErrorCode::MalformedMessage, "peer.batch");
        for (const auto source : messages) {
            BOOST_LEAF_AUTO(message, decode(source));
            m_inbound.onMessage()(std::move(message));
        }
        return {};
    }

    InboundListener& m_inbound;
    std::uint64_t m_connectionId;
};

} // namespace

class InboundListener::Connection {
public:
    Connection(InboundListener& inbound, std::uint64_t id, kj::Own<kj::AsyncIoStream> stream)
        : m_stream(kj::mv(stream), inbound.m_bytes, StreamLimits { maxConnectionBytes })
        , m_network(m_stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , m_system(capnp::makeRpcServer(m_network, kj::heap<Service>(inbound, id)))
    {
        m_system.setFlowLimit(maxMessageBytes / sizeof(capnp::word));
    }

    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }

private:
    CountingStream m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
};

InboundListener::InboundListener(kj::Own<kj::ConnectionReceiver> receiver, ByteCounters& bytes,
    InboundCounters& counters, PeerNetwork::OnMessage onMessage)
    : m_receiver(kj::mv(receiver))
    , m_bytes(bytes)
    , m_counters(counters)
    , m_onMessage(std::move(onMessage))
    , m_tasks(*this)
{
    m_tasks.add(acceptLoop());
}

InboundListener::~InboundListener() = default;

void InboundListener::close(std::uint64_t connectionId)
{
    m_tasks.add(kj::evalLater([this, connectionId] {
        m_connections.erase(connectionId);
        m_counters.open = m_connections.size();
    }));
}

void InboundListener::taskFailed(kj::Exception&& exception)
{
    logEvent("peer.inbound_failed", { { "detail", exception.getDescription().cStr() } }, LogLevel::Debug);
}

kj::Promise<void> InboundListener::acceptLoop()
{
    return m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
            accept(kj::mv(stream));
            return acceptLoop();
        },
        [this](kj::Exception&&) { return kj::evalLater([this] { return acceptLoop(); }); });
}

void InboundListener::accept(kj::Own<kj::AsyncIoStream> stream)
{
    if (m_connections.size() >= m_counters.limit) {
        ++m_counters.refused;
        reportRefused();
        return;
    }
    const std::uint64_t id = ++m_nextId;
    auto connection = std::make_unique<Connection>(*this, id, kj::mv(stream));
    m_tasks.add(connection->onDisconnect().then([this, id] { close(id); }, [this, id](kj::Exception&&) { close(id); }));
    m_connections.emplace(id, std::move(connection));
    m_counters.open = m_connections.size();
}

/// Logs at most once a second, since a peer that is refused connects again.
void InboundListener::reportRefused()
{
    if (!m_nextReport.hasPassed(m_clock.now()))
        return;
    m_nextReport = Deadline::after(m_clock.now(), refusalReportPeriod);
    logEvent("peer.too_many_connections",
        { { "limit", m_counters.limit.load() }, { "refused", m_counters.refused - m_reportedRefusals } },
        LogLevel::Warning);
    m_reportedRefusals = m_counters.refused;
}

} // namespace rattanrack::peer
