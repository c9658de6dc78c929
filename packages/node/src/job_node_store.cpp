#include "job_node_state.h"

#include <future>

/// Calls to the store through peers: our own while the store turns this node away, and those of others.
namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration peerPatience = 1400ms; ///< Beyond the wait that the question itself asks for.

} // namespace

std::optional<peer::StoreResult> JobNode::State::callPeer(const peer::StoreRequest& request)
{
    const auto* changes = std::get_if<jobs::ChangesQuery>(&request);
    const Duration patience = peerPatience + (changes ? changes->wait : Duration {});
    const auto deadline = Deadline::after(clock.now(), patience);
    const auto promise = std::make_shared<std::promise<std::optional<peer::StoreResult>>>();
    auto answer = promise->get_future();
    control.post([this, request, deadline, promise] {
        const bool isAsked = sendToPeer(
            request, deadline, [promise](const peer::StoreReply& reply) { promise->set_value(reply.result); });
        if (!isAsked)
            promise->set_value(std::nullopt);
    });
    // The control thread ends the exchange at its deadline.
    return answer.get();
}

bool JobNode::State::sendToPeer(
    const peer::StoreRequest& request, Deadline deadline, PendingCalls<peer::StoreReply>::OnReply onReply)
{
    const auto peers = ownership.peersReachingStore(clock.now());
    if (peers.empty())
        return false;
    const std::string& address = peers[++lastPeerIndex % peers.size()];
    network->send(
        address, peer::StoreCall { storeCalls.add(deadline, std::move(onReply)), settings.peerAddress, request });
    return true;
}

void JobNode::State::received(const peer::StoreCall& call)
{
    const auto reply = [this, exchange = call.exchange, address = call.replyTo](peer::StoreResult answer) {
        network->send(address, peer::StoreReply { exchange, std::move(answer) });
    };
    const bool isTaken
        = storePool.submit([this, request = call.request, reply] { reply(ports.store.executeDirectly(request)); });
    if (!isTaken && std::holds_alternative<jobs::PartTransaction>(call.request))
        reply(jobs::TransactionOutcome { jobs::TransactionStatus::Unavailable, 0, {}, "the peer is busy" });
    else if (!isTaken)
        reply(jobs::ReadOutcome { jobs::ReadStatus::Unavailable, {}, "the peer is busy" });
}

} // namespace rattanrack::node
