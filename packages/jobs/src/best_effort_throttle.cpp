#include "rattanrack/jobs/best_effort_throttle.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double nearTargetRatio = 0.85;
constexpr double wellBelowTargetRatio = 0.6;
constexpr int minPercent = 15; ///< A lower share becomes 0.
constexpr int growthPercent = 10;
constexpr Duration latencyWindow = 600ms; ///< A reported tail latency covers the last half second.
constexpr Duration calmTimeBeforeGrowth = 1500ms;

} // namespace

int BestEffortThrottle::observe(double worstTailRatio, TimePoint now)
{
    if (worstTailRatio <= 0) {
        m_percent = 100;
        return m_percent;
    }
    const bool reflectsLastChange = now - m_changedAt >= latencyWindow;
    if (worstTailRatio >= nearTargetRatio) {
        m_nearTargetAt = now;
        if (!reflectsLastChange)
            return m_percent;
        m_percent = m_percent / 2 < minPercent || worstTailRatio >= 1 ? 0 : m_percent / 2;
        m_changedAt = now;
    } else if (worstTailRatio < wellBelowTargetRatio && reflectsLastChange
        && now - m_nearTargetAt >= calmTimeBeforeGrowth) {
        m_percent = std::min(100, std::max(minPercent, m_percent + growthPercent));
        m_changedAt = now;
    }
    return m_percent;
}

} // namespace rattanrack::jobs
