#include "rattanrack/jobs/lease_clock.h"

#include "rattanrack/base/milliseconds.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double minClockRate = 0.98; ///< Least rate of a worker's clock relative to this node's clock.
constexpr double unknownStartFactor = 1.03; ///< For the length of a lease whose start only another node knows.
constexpr Duration roundingSlack = 50ms;
constexpr Duration maxExecutionDelay = 12s; ///< A command without a response is carried out at most this much later.

Duration onSlowestClock(Duration length)
{
    return Duration { static_cast<std::int64_t>(static_cast<double>(length.count()) / minClockRate) };
}

/// Latest end of a lease of this length that starts at `begin`.
TimePoint latestLeaseEnd(TimePoint begin, Duration length)
{
    return begin == TimePoint {} ? begin : begin + onSlowestClock(length) + roundingSlack;
}

} // namespace

Duration inheritedLease(Duration ownershipTimeout, Duration leaseLength)
{
    const auto stretched
        = Duration { static_cast<std::int64_t>(static_cast<double>(leaseLength.count()) * unknownStartFactor) };
    return ownershipTimeout + stretched + takeoverSlack;
}

void LeaseClock::beginIncarnation(std::int64_t incarnationUnixMs, Duration longestLease, TimePoint inheritedUntil)
{
    if (isOfIncarnation(incarnationUnixMs))
        return;
    m_incarnationUnixMs = incarnationUnixMs;
    m_isKnown = false;
    m_latestEndMs = 0;
    m_leasesEndAt = std::max(
        m_leasesEndAt, latestLeaseEnd(std::max({ inheritedUntil, m_deliveredBy, m_carriedOutBy }), longestLease));
}

void LeaseClock::inherit(TimePoint until, Duration length)
{
    m_leasesEndAt = std::max(m_leasesEndAt, latestLeaseEnd(until, length));
}

TimePoint LeaseClock::unboundLeasesEndAt(Duration longestLease) const
{
    return latestLeaseEnd(std::max(m_deliveredBy, m_carriedOutBy), longestLease);
}

void LeaseClock::observe(std::int64_t workerClockMs, TimePoint sentAt, TimePoint now)
{
    const bool isNewer = !m_isKnown || workerClockMs >= m_clockMs;
    if (!isNewer)
        return;
    m_isKnown = true;
    m_clockMs = workerClockMs;
    m_pollSentAt = sentAt;
    m_observedAt = now;
}

bool LeaseClock::isFromThisIncarnation(std::int64_t workerClockMs, TimePoint now) const
{
    // Any later incarnation has started since the poll was sent.
    const std::int64_t sinceSentMs = milliseconds(now - m_pollSentAt) + 1;
    const bool isOlderThanAnyLater = workerClockMs > sinceSentMs + milliseconds(maxInitialClock);
    const bool isPossible = workerClockMs >= m_clockMs && workerClockMs <= m_clockMs + sinceSentMs;
    return m_isKnown && isPossible && isOlderThanAnyLater;
}

std::int64_t LeaseClock::grant(Duration length, TimePoint now)
{
    const std::int64_t age = milliseconds(now - m_observedAt);
    m_latestEndMs = std::max(m_latestEndMs, m_clockMs + age + milliseconds(length));
    const double earliestClockMs = static_cast<double>(m_clockMs) + static_cast<double>(age) * minClockRate;
    const double longestMs = (static_cast<double>(m_latestEndMs) - earliestClockMs) / minClockRate;
    m_leasesEndAt
        = std::max(m_leasesEndAt, now + Duration { static_cast<std::int64_t>(longestMs * 1000) } + roundingSlack);
    return m_latestEndMs;
}

void LeaseClock::recordDelivery(std::int64_t incarnationUnixMs, bool isAnswered, Duration longestLease, TimePoint now)
{
    m_deliveredBy = std::max(m_deliveredBy, now);
    if (!isAnswered)
        m_carriedOutBy = std::max(m_carriedOutBy, now + maxExecutionDelay);
    if (!isOfIncarnation(incarnationUnixMs))
        m_leasesEndAt
            = std::max(m_leasesEndAt, latestLeaseEnd(isAnswered ? now : now + maxExecutionDelay, longestLease));
}

TimePoint LeaseClock::leasesEndInAllIncarnationsAt(bool isLaterListed, Duration longestLease) const
{
    const TimePoint latest = isLaterListed ? std::max(m_deliveredBy, m_carriedOutBy) : m_deliveredBy;
    return std::max(m_leasesEndAt, latestLeaseEnd(latest, longestLease));
}

} // namespace rattanrack::jobs
