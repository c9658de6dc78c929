#include "rattanrack/platform/rate_limited_table.h"

#include <algorithm>

namespace rattanrack::platform {

namespace {

TokenBucket makeBucket(double perSecond, double burstSeconds, TimePoint now)
{
    return { perSecond, std::max(1.0, perSecond * burstSeconds), now };
}

} // namespace

RateLimitedTable::RateLimitedTable(Table& inner, const Clock& clock, const TableShare& share, std::uint64_t seed)
    : RateLimitedTable(inner, clock, share, CircuitBreaker::Limits {}, seed)
{
}

RateLimitedTable::RateLimitedTable(
    Table& inner, const Clock& clock, const TableShare& share, const CircuitBreaker::Limits& limits, std::uint64_t seed)
    : m_inner(inner)
    , m_clock(clock)
    , m_writes(makeBucket(share.writesPerSecond, share.burstSeconds, clock.now()))
    , m_reads(makeBucket(share.readsPerSecond, share.burstSeconds, clock.now()))
    , m_breaker(limits, seed)
{
}

CommitOutcome RateLimitedTable::commit(const Transaction& transaction)
{
    const auto permission = tryAcquire(m_writes, &RateLimitedTableCounters::writes);
    if (!permission)
        return { CommitStatus::Unavailable, 0, "rejected by rate limit or circuit breaker" };
    auto outcome = m_inner.commit(transaction);
    recordResult(*permission, outcome.status != CommitStatus::Unavailable && outcome.status != CommitStatus::Unknown);
    return outcome;
}

Result<Rows> RateLimitedTable::read(const std::vector<std::string>& keys)
{
    return limitRead("table.read", [&] { return m_inner.read(keys); });
}

Result<Rows> RateLimitedTable::scan(const std::string& prefix, RowVersion newerThan, std::size_t limit)
{
    return limitRead("table.scan", [&] { return m_inner.scan(prefix, newerThan, limit); });
}

template <typename Call> Result<Rows> RateLimitedTable::limitRead(const char* step, Call call)
{
    const auto permission = tryAcquire(m_reads, &RateLimitedTableCounters::reads);
    if (!permission)
        return fail(ErrorCode::Unavailable, step, {}, "rejected by rate limit or circuit breaker");
    auto rows = call();
    recordResult(*permission, static_cast<bool>(rows));
    return rows;
}

bool RateLimitedTable::isServiceUp() const
{
    const std::lock_guard guard { m_mutex };
    return m_breaker.isClosed();
}

RateLimitedTableCounters RateLimitedTable::counters() const
{
    const std::lock_guard guard { m_mutex };
    auto counters = m_counters;
    counters.breakerOpenCount = m_breaker.openCount();
    return counters;
}

std::optional<CircuitBreaker::Permission> RateLimitedTable::tryAcquire(TokenBucket& share, Counter calls)
{
    const std::lock_guard guard { m_mutex };
    const auto now = m_clock.now();
    if (!share.take(now)) {
        ++m_counters.overShare;
        return std::nullopt;
    }
    const auto permission = m_breaker.tryAcquire(now);
    ++(permission ? m_counters.*calls : m_counters.rejectedByBreaker);
    return permission;
}

void RateLimitedTable::recordResult(CircuitBreaker::Permission permission, bool isSuccess)
{
    const std::lock_guard guard { m_mutex };
    const auto now = m_clock.now();
    const bool wasClosed = m_breaker.isClosed();
    m_counters.failures += isSuccess ? 0 : 1;
    m_breaker.recordResult(permission, isSuccess, now);
    if (wasClosed || !m_breaker.isClosed())
        return;
    m_writes.clear(now);
    m_reads.clear(now);
}

} // namespace rattanrack::platform
