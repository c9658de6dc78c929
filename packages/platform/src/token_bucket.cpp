#include "rattanrack/platform/token_bucket.h"

#include <algorithm>

namespace rattanrack::platform {

TokenBucket::TokenBucket(double ratePerSecond, double capacity, TimePoint now)
    : m_ratePerSecond(ratePerSecond)
    , m_capacity(capacity)
    , m_tokens(capacity)
    , m_refilledAt(now)
{
}

bool TokenBucket::take(TimePoint now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void TokenBucket::clear(TimePoint now)
{
    m_tokens = 0;
    m_refilledAt = std::max(m_refilledAt, now);
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(m_capacity, m_tokens + elapsed.count() * m_ratePerSecond);
    m_refilledAt = now;
}

} // namespace rattanrack::platform
