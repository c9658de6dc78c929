#include "rattanrack/node/log_rate_limiter.h"

#include <utility>

namespace rattanrack::node {

bool LogRateLimiter::admits(TimePoint now)
{
    if (m_secondEndsAt.hasPassed(now)) {
        m_secondEndsAt = Deadline::after(now, std::chrono::seconds { 1 });
        m_writtenCount = 0;
    }
    if (m_writtenCount >= maxLinesPerSecond) {
        ++m_suppressedCount;
        return false;
    }
    ++m_writtenCount;
    return true;
}

std::size_t LogRateLimiter::takeSuppressedCount() { return std::exchange(m_suppressedCount, 0); }

} // namespace rattanrack::node
