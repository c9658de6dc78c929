#include "drain_rate.h"

#include <cmath>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double memorySeconds = 3; ///< About the time that a crashed worker is down.
constexpr double expectedWeightSeconds = 1; ///< Weight of the assumed rate when work begins to wait.
constexpr Duration longestGap = 1s; ///< Without waiting work, after which the earlier rate says nothing.

double seconds(Duration time) { return std::chrono::duration<double> { time }.count(); }

} // namespace

void DrainRate::advance(TimePoint now, bool isWorkWaiting, double expected)
{
    const Duration passed = now - m_advancedAt;
    m_advancedAt = now;
    if (now - m_lastWaitingAt > longestGap) {
        m_busySeconds = isWorkWaiting ? expectedWeightSeconds : 0;
        m_work = expected * m_busySeconds;
    } else if (m_busySeconds > 0) {
        const double kept = std::exp(-seconds(passed) / memorySeconds);
        m_work *= kept;
        m_busySeconds = m_busySeconds * kept + seconds(passed);
    }
    if (isWorkWaiting)
        m_lastWaitingAt = now;
}

} // namespace rattanrack::jobs
