#include "rattanrack/jobs/lease_clock.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double slowestClock = 0.98; ///< Ticks of a worker's clock in one second of ours, at least.
constexpr Duration roundingSlack = 50ms;

} // namespace

void LeaseClock::observe(std::int64_t workerClockMs, TimePoint now)
{
    const bool isNewer = !m_isKnown || workerClockMs >= m_clockMs;
    if (!isNewer)
        return;
    m_isKnown = true;
    m_clockMs = workerClockMs;
    m_observedAt = now;
}

std::int64_t LeaseClock::grant(Duration length, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_observedAt).count();
    const auto lengthMs = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    m_latestEndMs = std::max(m_latestEndMs, m_clockMs + age + lengthMs);
    const double earliestClockMs = static_cast<double>(m_clockMs) + static_cast<double>(age) * slowestClock;
    const double longestMs = (static_cast<double>(m_latestEndMs) - earliestClockMs) / slowestClock;
    m_lapsedAt = std::max(m_lapsedAt, now + Duration { static_cast<std::int64_t>(longestMs * 1000) } + roundingSlack);
    return m_latestEndMs;
}

} // namespace rattanrack::jobs
