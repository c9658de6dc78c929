#include "rattanrack/peer/peer_network.h"

#include "inbound_listener.h"
#include "network_limits.h"
#include "outbound_peer.h"

#include "rattanrack/base/log.h"

#include <kj/async-unix.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace rattanrack::peer {

namespace {

constexpr std::size_t maxPostedCommands = 8192;

/// Connections in one direction that `nodes` nodes need.
std::size_t connectionLimit(std::size_t nodes) { return std::max(minConnections, connectionsPerNode * nodes); }

/// Connections in one direction that the process's descriptors allow.
std::size_t descriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(static_cast<double>(limit.rlim_cur) * descriptorShare / 2);
}

/// A command of another thread to the network's thread: send the message or, without one, disconnect the peer.
struct Command {
    std::string address;
    std::optional<Message> message;
};

/// A pipe through which other threads wake the event loop.
class WakePipe {
public:
    static Result<WakePipe> create()
    {
        int descriptors[2];
        if (pipe2(descriptors, O_CLOEXEC | O_NONBLOCK) != 0)
            return fail(ErrorCode::Unavailable, "peer.pipe");
        return WakePipe { kj::AutoCloseFd { descriptors[0] }, kj::AutoCloseFd { descriptors[1] } };
    }

    void wake() const
    {
        const char byte = 0;
        // A full pipe already contains a wake-up, so a failed write is harmless.
        [[maybe_unused]] const ssize_t written = write(m_writeEnd.get(), &byte, 1);
    }
    int readEnd() const { return m_readEnd.get(); }

private:
    WakePipe(kj::AutoCloseFd readEnd, kj::AutoCloseFd writeEnd)
        : m_readEnd(kj::mv(readEnd))
        , m_writeEnd(kj::mv(writeEnd))
    {
    }

    kj::AutoCloseFd m_readEnd;
    kj::AutoCloseFd m_writeEnd;
};

} // namespace

struct PeerNetwork::State {
    State(WakePipe pipe, SocketAddress listenAddress, OnMessage handler)
        : wakePipe(std::move(pipe))
        , address(listenAddress)
        , onMessage(std::move(handler))
    {
        setConnectionLimit(connectionLimit(0));
    }

    void setConnectionLimit(std::size_t limit)
    {
        inboundCounters.limit = limit;
        maxPeers = limit;
    }

    void post(Command command);
    void run(std::promise<bool> started);
    void serve(kj::AsyncIoContext& io, std::promise<bool>& started);
    std::deque<Command> takePosted(bool& isStopped);

    WakePipe wakePipe;
    SocketAddress address;
    OnMessage onMessage;
    ByteCounters counters;
    InboundCounters inboundCounters;
    std::atomic<std::size_t> maxPeers { 0 }; ///< That messages are queued for.
    std::mutex mutex;
    std::deque<Command> posted;
    bool isStopping { false };
    std::thread thread;
};

namespace {

/// The peers that messages are sent to. Used on the network's thread only.
class OutboundPeers {
public:
    OutboundPeers(OutboundContext context, const std::atomic<std::size_t>& maxPeers)
        : m_context(context)
        , m_maxPeers(maxPeers)
    {
    }

    void execute(Command command)
    {
        if (!command.message)
            m_peers.erase(command.address);
        else if (OutboundPeer* peer = find(command.address))
            peer->send(std::move(*command.message));
    }

private:
    OutboundPeer* find(const std::string& address)
    {
        const auto found = m_peers.find(address);
        if (found != m_peers.end())
            return found->second.get();
        return handle([&]() -> Result<OutboundPeer*> { return add(address); },
            [](const Error& error) -> OutboundPeer* {
                logEvent("peer.cannot_send", { { "error", describe(error) } }, LogLevel::Warning);
                return nullptr;
            });
    }

    Result<OutboundPeer*> add(const std::string& address)
    {
        if (m_peers.size() >= m_maxPeers)
            return fail(ErrorCode::Refused, "peer.send", address, "too many peers");
        BOOST_LEAF_AUTO(socketAddress, parseSocketAddress(address));
        auto& peer = m_peers[address];
        peer = std::make_unique<OutboundPeer>(m_context, address, socketAddress);
        return peer.get();
    }

    OutboundContext m_context;
    const std::atomic<std::size_t>& m_maxPeers;
    std::map<std::string, std::unique_ptr<OutboundPeer>> m_peers;
};

} // namespace

void PeerNetwork::State::post(Command command)
{
    const std::lock_guard lock(mutex);
    posted.push_back(std::move(command));
    if (posted.size() > maxPostedCommands)
        posted.pop_front();
    if (posted.size() == 1)
        wakePipe.wake();
}

std::deque<Command> PeerNetwork::State::takePosted(bool& isStopped)
{
    const std::lock_guard lock(mutex);
    isStopped = isStopping;
    return std::exchange(posted, {});
}

void PeerNetwork::State::run(std::promise<bool> started)
{
    auto io = kj::setupAsyncIo();
    const auto exception = kj::runCatchingExceptions([&] { serve(io, started); });
    KJ_IF_MAYBE (failure, exception) {
        logEvent("peer.network_ended", { { "detail", failure->getDescription().cStr() } }, LogLevel::Error);
        kj::runCatchingExceptions([&] { started.set_value(false); });
    }
}

void PeerNetwork::State::serve(kj::AsyncIoContext& io, std::promise<bool>& started)
{
    auto& network = io.provider->getNetwork();
    InboundListener inbound(
        network.getSockaddr(address.socketAddress(), address.size)->listen(), counters, inboundCounters, onMessage);
    std::minstd_rand random { std::random_device {}() };
    OutboundPeers outboundPeers({ network, io.provider->getTimer(), counters, random }, maxPeers);
    auto wakeStream = io.lowLevelProvider->wrapInputFd(wakePipe.readEnd());
    started.set_value(true);

    char buffer[64];
    bool isStopped = false;
    while (!isStopped) {
        wakeStream->tryRead(buffer, 1, sizeof(buffer)).wait(io.waitScope);
        for (Command& command : takePosted(isStopped))
            outboundPeers.execute(std::move(command));
    }
}

PeerNetwork::PeerNetwork(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::create(const std::string& listenAddress, OnMessage onMessage)
{
    BOOST_LEAF_AUTO(address, parseSocketAddress(listenAddress));
    BOOST_LEAF_AUTO(pipe, WakePipe::create());
    auto state = std::make_unique<State>(std::move(pipe), address, std::move(onMessage));
    std::promise<bool> started;
    std::future<bool> hasStarted = started.get_future();
    state->thread
        = std::thread([raw = state.get(), started = std::move(started)]() mutable { raw->run(std::move(started)); });
    std::unique_ptr<PeerNetwork> network { new PeerNetwork { std::move(state) } };
    if (!hasStarted.get())
        return fail(ErrorCode::Unavailable, "peer.listen", listenAddress);
    return network;
}

PeerNetwork::~PeerNetwork()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->isStopping = true;
    }
    m_state->wakePipe.wake();
    m_state->thread.join();
}

void PeerNetwork::send(const std::string& address, Message message) { m_state->post({ address, std::move(message) }); }

void PeerNetwork::disconnect(const std::string& address) { m_state->post({ address, std::nullopt }); }

PeerNetwork::Traffic PeerNetwork::traffic() const
{
    return { m_state->counters.sent.load(), m_state->counters.received.load() };
}

PeerNetwork::Connections PeerNetwork::connections() const
{
    const InboundCounters& counters = m_state->inboundCounters;
    return { counters.open.load(), counters.refused.load(), counters.limit.load() };
}

void PeerNetwork::setNodeCount(std::size_t nodes)
{
    const std::size_t needed = connectionLimit(nodes);
    const std::size_t limit = std::min(needed, descriptorLimit());
    if (limit == m_state->inboundCounters.limit)
        return;
    logEvent("peer.connection_limit", { { "nodes", nodes }, { "limit", limit }, { "needed", needed } },
        limit < needed ? LogLevel::Error : LogLevel::Info);
    m_state->setConnectionLimit(limit);
}

} // namespace rattanrack::peer
