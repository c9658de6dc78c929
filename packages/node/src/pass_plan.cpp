#include "rattanrack/node/pass_plan.h"

#include <algorithm>

namespace rattanrack::node {

namespace {

constexpr int restPerPass = 10; ///< Times the duration of a pass.
constexpr Duration longestRest = std::chrono::milliseconds { 100 };

} // namespace

std::optional<TimePoint> PassPlan::request(TimePoint wishedAt)
{
    const TimePoint at = std::max(wishedAt, m_restUntil);
    if (m_plannedFor && *m_plannedFor <= at)
        return std::nullopt;
    m_plannedFor = at;
    return at;
}

void PassPlan::recordPass(TimePoint begunAt, TimePoint now)
{
    m_restUntil = now + std::min(longestRest, (now - begunAt) * restPerPass);
}

bool PassPlan::tryBegin(TimePoint at)
{
    if (m_plannedFor != at)
        return false;
    m_plannedFor.reset();
    return true;
}

} // namespace rattanrack::node
