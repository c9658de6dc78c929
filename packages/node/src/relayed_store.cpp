#include "rattanrack/node/relayed_store.h"

#include "rattanrack/base/log.h"

#include <algorithm>
#include <utility>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration directRetryPeriod = 500ms; ///< Of direct calls while they fail.
/// A peer waits no longer for changes, so that its failure and the store's return are noticed soon.
constexpr Duration longestRelayedWait = 500ms;
constexpr Duration directProbeWait = 1ms; ///< For changes, while direct calls fail.

/// Whether the store itself returned a definite outcome.
struct IsDefinite {
    bool operator()(const jobs::TransactionOutcome& outcome) const
    {
        return outcome.status != jobs::TransactionStatus::Unavailable
            && outcome.status != jobs::TransactionStatus::Unknown;
    }
    bool operator()(const jobs::ReadOutcome& outcome) const { return outcome.status != jobs::ReadStatus::Unavailable; }
    bool operator()(std::monostate) const { return false; }
};

/// The request with a shorter wait for changes.
peer::StoreRequest withShorterWait(const peer::StoreRequest& request, Duration longestWait)
{
    peer::StoreRequest limited = request;
    if (auto* changes = std::get_if<jobs::ChangesQuery>(&limited))
        changes->wait = std::min(changes->wait, longestWait);
    return limited;
}

bool isDefinite(const peer::StoreResult& result) { return std::visit(IsDefinite {}, result); }

jobs::TransactionStatus statusOf(const peer::StoreResult& result)
{
    const auto* outcome = std::get_if<jobs::TransactionOutcome>(&result);
    return outcome ? outcome->status : jobs::TransactionStatus::Unknown; // The peer did not reply.
}

/// Returns the outcome of a call that was sent directly and through a peer.
peer::StoreResult combinedOutcome(const peer::StoreResult& earlier, const peer::StoreResult& later)
{
    if (isDefinite(later))
        return later;
    // The transaction may have taken effect over either path.
    return statusOf(later) == jobs::TransactionStatus::Unknown ? later : earlier;
}

jobs::ReadOutcome outcomeOf(const std::function<Result<jobs::RowPage>()>& read)
{
    return handle(
        [&]() -> Result<jobs::ReadOutcome> {
            BOOST_LEAF_AUTO(page, read());
            return jobs::ReadOutcome { jobs::ReadStatus::Done, std::move(page), {} };
        },
        [](const Error& error) {
            const bool isHistoryGone = error.code == ErrorCode::NotFound;
            return jobs::ReadOutcome { isHistoryGone ? jobs::ReadStatus::HistoryGone : jobs::ReadStatus::Unavailable,
                {}, error.detail };
        });
}

struct ExecuteOn {
    jobs::PartStore& store;

    peer::StoreResult operator()(const jobs::PartTransaction& transaction) const { return store.commit(transaction); }
    peer::StoreResult operator()(const jobs::RowRange& range) const
    {
        return outcomeOf([&] { return store.read(range); });
    }
    peer::StoreResult operator()(const jobs::ChangesQuery& query) const
    {
        return outcomeOf([&] { return store.changes(query.table, query.version, query.wait); });
    }
};

Result<jobs::RowPage> resultOf(jobs::ReadOutcome outcome)
{
    switch (outcome.status) {
    case jobs::ReadStatus::Done:
        return std::move(outcome.page);
    case jobs::ReadStatus::HistoryGone:
        return fail(ErrorCode::NotFound, "store.read", "", outcome.detail);
    case jobs::ReadStatus::Unavailable:
        break;
    }
    return fail(ErrorCode::Unavailable, "store.read", "", outcome.detail);
}

} // namespace

void RelayedStore::setPeerCall(PeerCall peerCall)
{
    const std::lock_guard lock(m_mutex);
    m_peerCall = std::move(peerCall);
}

void RelayedStore::setOnReachable(std::function<void()> onReachable)
{
    const std::lock_guard lock(m_mutex);
    m_onReachable = std::move(onReachable);
}

bool RelayedStore::isReachable() const
{
    const std::lock_guard lock(m_mutex);
    return m_isReachable;
}

bool RelayedStore::shouldTryDirectly()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock.now();
    if (!m_isReachable && !m_nextDirectTry.hasPassed(now))
        return false;
    m_nextDirectTry = Deadline::after(now, directRetryPeriod);
    return true;
}

std::optional<peer::StoreResult> RelayedStore::callPeer(const peer::StoreRequest& request) const
{
    PeerCall peerCall;
    {
        const std::lock_guard lock(m_mutex);
        peerCall = m_peerCall;
    }
    return peerCall ? peerCall(request) : std::nullopt;
}

peer::StoreResult RelayedStore::executeDirectly(const peer::StoreRequest& request)
{
    auto result = std::visit(ExecuteOn { m_direct }, request);
    const bool hasResponded = isDefinite(result);
    std::function<void()> onReachable;
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isReachable, hasResponded) == hasResponded)
            return result;
        logEvent(hasResponded ? "store.direct" : "store.through_peers", {}, LogLevel::Warning);
        if (hasResponded)
            onReachable = m_onReachable;
    }
    if (onReachable)
        onReachable();
    return result;
}

std::optional<peer::StoreResult> RelayedStore::callPeers(const peer::StoreRequest& request)
{
    const peer::StoreRequest relayed = withShorterWait(request, longestRelayedWait);
    auto result = callPeer(relayed);
    const bool mayRepeat = !std::holds_alternative<jobs::PartTransaction>(request);
    if (!result || isDefinite(*result) || !mayRepeat)
        return result;
    return isReachable() ? executeDirectly(request) : callPeer(relayed);
}

peer::StoreResult RelayedStore::call(const peer::StoreRequest& request)
{
    std::optional<peer::StoreResult> direct;
    const bool wasReachable = isReachable();
    if (shouldTryDirectly())
        direct = executeDirectly(wasReachable ? request : withShorterWait(request, directProbeWait));
    if (direct && isDefinite(*direct))
        return *std::move(direct);
    auto relayed = callPeers(request);
    if (!relayed)
        return direct ? *std::move(direct) : executeDirectly(request);
    return direct ? combinedOutcome(*direct, *relayed) : *std::move(relayed);
}

jobs::TransactionOutcome RelayedStore::commit(const jobs::PartTransaction& transaction)
{
    const auto result = call(transaction);
    const auto* outcome = std::get_if<jobs::TransactionOutcome>(&result);
    return outcome ? *outcome
                   : jobs::TransactionOutcome { jobs::TransactionStatus::Unknown, 0, {}, "no reply from the peer" };
}

jobs::ReadOutcome RelayedStore::executeRead(const peer::StoreRequest& request)
{
    auto result = call(request);
    auto* outcome = std::get_if<jobs::ReadOutcome>(&result);
    return outcome ? std::move(*outcome)
                   : jobs::ReadOutcome { jobs::ReadStatus::Unavailable, {}, "no reply from the peer" };
}

Result<jobs::RowPage> RelayedStore::read(const jobs::RowRange& range) { return resultOf(executeRead(range)); }

Result<jobs::RowPage> RelayedStore::changes(const std::string& table, jobs::RowVersion version, Duration wait)
{
    return resultOf(executeRead(jobs::ChangesQuery { table, version, wait }));
}

} // namespace rattanrack::node
