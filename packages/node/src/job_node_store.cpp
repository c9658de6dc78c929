#include "job_node_state.h"

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
    network->send(
        address, peer::StoreCall { storeCalls.add(deadline, std::move(onReply)), settings.peerAddress, request });
    return true;
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
