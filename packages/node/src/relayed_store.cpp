#include "rattanrack/node/relayed_store.h"

#include "rattanrack/base/log.h"

#include <utility>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration tryPeriod = 500ms; ///< Of the direct way while it fails.

/// Whether the store itself has spoken.
struct IsAnswered {
    bool operator()(const jobs::TransactionOutcome& outcome) const
    {
        return outcome.status != jobs::TransactionStatus::Unavailable
            && outcome.status != jobs::TransactionStatus::Unknown;
    }
    bool operator()(const jobs::ReadOutcome& outcome) const { return outcome.status != jobs::ReadStatus::Unavailable; }
    bool operator()(std::monostate) const { return false; }
};

bool isAnswered(const peer::StoreResult& answer) { return std::visit(IsAnswered {}, answer); }

jobs::TransactionStatus statusOf(const peer::StoreResult& answer)
{
    const auto* outcome = std::get_if<jobs::TransactionOutcome>(&answer);
    return outcome ? outcome->status : jobs::TransactionStatus::Unknown; // No answer came from the peer.
}

/// What is known of a call that has gone two ways.
peer::StoreResult together(const peer::StoreResult& earlier, const peer::StoreResult& later)
{
    if (isAnswered(later))
        return later;
    // By either way it may have taken effect.
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

struct CallTo {
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

void RelayedStore::setPeerCall(PeerCall ask)
{
    const std::lock_guard lock(m_mutex);
    m_peerCall = std::move(ask);
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
    m_nextDirectTry = Deadline::after(now, tryPeriod);
    return true;
}

std::optional<peer::StoreResult> RelayedStore::callPeer(const peer::StoreRequest& request) const
{
    PeerCall ask;
    {
        const std::lock_guard lock(m_mutex);
        ask = m_peerCall;
    }
    return ask ? ask(request) : std::nullopt;
}

peer::StoreResult RelayedStore::executeDirectly(const peer::StoreRequest& request)
{
    auto answer = std::visit(CallTo { m_direct }, request);
    const bool isInReach = isAnswered(answer);
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_isReachable, isInReach) != isInReach)
        logEvent(isInReach ? "store.direct" : "store.through_peers", {}, LogLevel::Warning);
    return answer;
}

peer::StoreResult RelayedStore::call(const peer::StoreRequest& request)
{
    std::optional<peer::StoreResult> direct;
    if (shouldTryDirectly())
        direct = executeDirectly(request);
    if (direct && isAnswered(*direct))
        return *std::move(direct);
    auto relayed = callPeer(request);
    if (!relayed)
        return direct ? *std::move(direct) : executeDirectly(request);
    return direct ? together(*direct, *relayed) : *std::move(relayed);
}

jobs::TransactionOutcome RelayedStore::commit(const jobs::PartTransaction& transaction)
{
    const auto answer = call(transaction);
    const auto* outcome = std::get_if<jobs::TransactionOutcome>(&answer);
    return outcome ? *outcome
                   : jobs::TransactionOutcome { jobs::TransactionStatus::Unknown, 0, {}, "no answer from the peer" };
}

jobs::ReadOutcome RelayedStore::ask(const peer::StoreRequest& request)
{
    auto answer = call(request);
    auto* outcome = std::get_if<jobs::ReadOutcome>(&answer);
    return outcome ? std::move(*outcome)
                   : jobs::ReadOutcome { jobs::ReadStatus::Unavailable, {}, "no answer from the peer" };
}

Result<jobs::RowPage> RelayedStore::read(const jobs::RowRange& range) { return resultOf(ask(range)); }

Result<jobs::RowPage> RelayedStore::changes(const std::string& table, jobs::RowVersion version, Duration wait)
{
    return resultOf(ask(jobs::ChangesQuery { table, version, wait }));
}

} // namespace rattanrack::node
