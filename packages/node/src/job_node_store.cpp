#include "job_node_state.h"

#include <algorithm>
#include <future>

/// Calls to the store through peers: those of this node while the store is unreachable from here, and those of other
/// nodes.
namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration peerTimeout = 1400ms; ///< In addition to the wait of the request itself.

} // namespace

std::optional<peer::StoreResult> JobNode::State::callPeer(const peer::StoreRequest& request)
{
    const auto* changes = std::get_if<jobs::ChangesQuery>(&request);
    const Duration timeout = peerTimeout + (changes ? changes->wait : Duration {});
    const auto deadline = Deadline::after(clock.now(), timeout);
    const auto promise = std::make_shared<std::promise<std::optional<peer::StoreResult>>>();
    auto answer = promise->get_future();
    control.post([this, request, deadline, promise] {
        const bool isSent = sendToPeer(
            request, deadline, [promise](const peer::StoreReply& reply) { promise->set_value(reply.result); });
        if (!isSent)
            promise->set_value(std::nullopt);
    });
    // The control thread ends the call at its deadline.
    return answer.get();
}

bool JobNode::State::sendToPeer(
    const peer::StoreRequest& request, Deadline deadline, PendingCalls<peer::StoreReply>::OnReply onReply)
{
    const auto peers = ownership.peersReachingStore(clock.now());
    if (peers.empty())
        return false;
    const std::string& address = peers[++lastPeerIndex % peers.size()];
    const std::uint64_t exchange = storeCalls.add(deadline, std::move(onReply));
    relayedCalls[exchange] = { address, !std::holds_alternative<jobs::PartTransaction>(request) };
    network->send(address, peer::StoreCall { exchange, settings.peerAddress, request });
    return true;
}

void JobNode::State::received(const peer::StoreReply& reply)
{
    relayedCalls.erase(reply.exchange);
    storeCalls.handleReply(reply);
}

/// Calls to peers that have fallen silent, leave, or no longer reach the store get no answer.
void JobNode::State::endCallsToUnusablePeers(TimePoint now)
{
    storeCalls.expire(now);
    const auto usable = ownership.peersReachingStore(now);
    endRelayedCalls(
        [&](const RelayedCall& call) { return std::find(usable.begin(), usable.end(), call.address) == usable.end(); });
}

/// Their callers read again, directly.
void JobNode::State::endRelayedReads()
{
    endRelayedCalls([](const RelayedCall& call) { return call.isRead; });
}

void JobNode::State::endRelayedCalls(const std::function<bool(const RelayedCall&)>& isOver)
{
    std::vector<std::uint64_t> ended;
    for (const auto& [exchange, call] : relayedCalls) {
        if (!storeCalls.contains(exchange) || isOver(call))
            ended.push_back(exchange);
    }
    for (const std::uint64_t exchange : ended)
        received(peer::StoreReply { exchange, {} });
}

void JobNode::State::received(const peer::StoreCall& call)
{
    const auto reply = [this, exchange = call.exchange, address = call.replyTo](peer::StoreResult answer) {
        network->send(address, peer::StoreReply { exchange, std::move(answer) });
    };
    const bool isAccepted
        = storePool.submit([this, request = call.request, reply] { reply(ports.store.executeDirectly(request)); });
    if (!isAccepted && std::holds_alternative<jobs::PartTransaction>(call.request))
        reply(jobs::TransactionOutcome { jobs::TransactionStatus::Unavailable, 0, {}, "the peer is busy" });
    else if (!isAccepted)
        reply(jobs::ReadOutcome { jobs::ReadStatus::Unavailable, {}, "the peer is busy" });
}

} // namespace rattanrack::node
