#include "rattanrack/jobs/best_effort_throttle.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double nearTarget = 0.85;
constexpr double wellBelowTarget = 0.6;
constexpr int smallestShare = 15; ///< Percent; a lower one is none.
constexpr int growth = 10; ///< Percent.
constexpr Duration figureAge = 600ms; ///< A tail latency covers the last half second.
constexpr Duration calmBeforeGrowth = 1500ms;

} // namespace

int BestEffortThrottle::observe(double worstTail, TimePoint now)
{
    if (worstTail <= 0) {
        m_percent = 100;
        return m_percent;
    }
    const bool showsLastChange = now - m_changedAt >= figureAge;
    if (worstTail >= nearTarget) {
        m_highAt = now;
        if (!showsLastChange)
            return m_percent;
        m_percent = m_percent / 2 < smallestShare || worstTail >= 1 ? 0 : m_percent / 2;
        m_changedAt = now;
    } else if (worstTail < wellBelowTarget && showsLastChange && now - m_highAt >= calmBeforeGrowth) {
        m_percent = std::min(100, std::max(smallestShare, m_percent + growth));
        m_changedAt = now;
    }
    return m_percent;
}

} // namespace rattanrack::jobs
