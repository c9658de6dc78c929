#include "rattanrack/node/log_rate_limiter.h"

#include <utility>

namespace rattanrack::node {

bool LogRateLimiter::admits(TimePoint now)
{
    if (m_secondEnds.hasPassed(now)) {
        m_secondEnds = Deadline::after(now, std::chrono::seconds { 1 });
        m_written = 0;
    }
    if (m_written >= maxLinesPerSecond) {
        ++m_leftOut;
        return false;
    }
    ++m_written;
    return true;
}

std::size_t LogRateLimiter::takeSuppressedCount() { return std::exchange(m_leftOut, 0); }

} // namespace rattanrack::node
