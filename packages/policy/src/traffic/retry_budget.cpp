#include "traffic/retry_budget.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {
constexpr double maxTokens = 20; // retries
}

void RetryBudget::recordFirstAttempt() { m_tokens = std::min(maxTokens, m_tokens + m_share); }

bool RetryBudget::takeRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace rattanrack::policy
