#include "rattanrack/node/pass_scheduler.h"

#include <algorithm>

namespace rattanrack::node {

namespace {

constexpr int restPerPass = 10; ///< In multiples of the duration of the pass.
constexpr Duration longestRest = std::chrono::milliseconds { 100 };

} // namespace

std::optional<TimePoint> PassScheduler::request(TimePoint requestedAt)
{
    const TimePoint at = std::max(requestedAt, m_restUntil);
    if (m_scheduledFor && *m_scheduledFor <= at)
        return std::nullopt;
    m_scheduledFor = at;
    return at;
}

void PassScheduler::recordPass(TimePoint startedAt, TimePoint now)
{
    m_restUntil = now + std::min(longestRest, (now - startedAt) * restPerPass);
}

bool PassScheduler::tryBegin(TimePoint at)
{
    if (m_scheduledFor != at)
        return false;
    m_scheduledFor.reset();
    return true;
}

} // namespace rattanrack::node
