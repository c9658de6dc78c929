#include "submission_allowance.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

constexpr double burstSeconds = 5;

} // namespace

bool SubmissionAllowance::take(double weight, TimePoint now)
{
    const double most = std::max(1.0, weight * burstSeconds);
    const bool isFirst = m_filledAt == TimePoint {};
    const double seconds = std::chrono::duration<double> { now - m_filledAt }.count();
    m_tokens = isFirst ? most : std::min(most, m_tokens + weight * std::max(seconds, 0.0));
    m_filledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace rattanrack::jobs
