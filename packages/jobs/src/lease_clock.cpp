#include "rattanrack/jobs/lease_clock.h"

#include "rattanrack/base/milliseconds.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double slowestClock = 0.98; ///< Ticks of a worker's clock in one second of ours, at least.
constexpr double clockSlack = 1.03; ///< Of a lease whose beginning is known to another node alone.
constexpr Duration roundingSlack = 50ms;
constexpr Duration longestHeldUp = 12s; ///< An order without an answer is carried out so much later at most.

Duration onSlowestClock(Duration length)
{
    return Duration { static_cast<std::int64_t>(static_cast<double>(length.count()) / slowestClock) };
}

/// A lease that began then, and is as long as a worker allows, has ended.
TimePoint endOfLongest(TimePoint begin, Duration longestLease)
{
    return begin == TimePoint {} ? begin : begin + onSlowestClock(longestLease) + roundingSlack;
}

} // namespace

Duration inheritedLease(Duration ownerTrust, Duration longestLease)
{
    const auto stretched
        = Duration { static_cast<std::int64_t>(static_cast<double>(longestLease.count()) * clockSlack) };
    return ownerTrust + stretched + takeoverSlack;
}

void LeaseClock::beginIncarnation(std::int64_t incarnationUnixMs, Duration longestLease, TimePoint foreignUntil)
{
    if (isOfIncarnation(incarnationUnixMs))
        return;
    m_bornUnixMs = incarnationUnixMs;
    m_isKnown = false;
    m_latestEndMs = 0;
    m_lapsedAt
        = std::max(m_lapsedAt, endOfLongest(std::max({ foreignUntil, m_deliveredBy, m_carriedOutBy }), longestLease));
}

void LeaseClock::observe(std::int64_t workerClockMs, TimePoint sentAt, TimePoint now)
{
    const bool isNewer = !m_isKnown || workerClockMs >= m_clockMs;
    if (!isNewer)
        return;
    m_isKnown = true;
    m_clockMs = workerClockMs;
    m_askedAt = sentAt;
    m_observedAt = now;
}

bool LeaseClock::isFromThisIncarnation(std::int64_t workerClockMs, TimePoint now) const
{
    // Any later life has begun since the question was sent.
    const std::int64_t sinceAskedMs = milliseconds(now - m_askedAt) + 1;
    const bool isOlderThanAnyLater = workerClockMs > sinceAskedMs + milliseconds(maxInitialClock);
    const bool isPossible = workerClockMs >= m_clockMs && workerClockMs <= m_clockMs + sinceAskedMs;
    return m_isKnown && isPossible && isOlderThanAnyLater;
}

std::int64_t LeaseClock::grant(Duration length, TimePoint now)
{
    const std::int64_t age = milliseconds(now - m_observedAt);
    m_latestEndMs = std::max(m_latestEndMs, m_clockMs + age + milliseconds(length));
    const double earliestClockMs = static_cast<double>(m_clockMs) + static_cast<double>(age) * slowestClock;
    const double longestMs = (static_cast<double>(m_latestEndMs) - earliestClockMs) / slowestClock;
    m_lapsedAt = std::max(m_lapsedAt, now + Duration { static_cast<std::int64_t>(longestMs * 1000) } + roundingSlack);
    return m_latestEndMs;
}

void LeaseClock::recordDelivery(std::int64_t incarnationUnixMs, bool isAnswered, Duration longestLease, TimePoint now)
{
    m_deliveredBy = std::max(m_deliveredBy, now);
    if (!isAnswered)
        m_carriedOutBy = std::max(m_carriedOutBy, now + longestHeldUp);
    if (!isOfIncarnation(incarnationUnixMs))
        m_lapsedAt = std::max(m_lapsedAt, endOfLongest(isAnswered ? now : now + longestHeldUp, longestLease));
}

TimePoint LeaseClock::leasesEndInAllIncarnationsAt(bool isLaterListed, Duration longestLease) const
{
    const TimePoint latest = isLaterListed ? std::max(m_deliveredBy, m_carriedOutBy) : m_deliveredBy;
    return std::max(m_lapsedAt, endOfLongest(latest, longestLease));
}

} // namespace rattanrack::jobs
