#include "rattanrack/node/pass_plan.h"

namespace rattanrack::node {

std::optional<TimePoint> PassPlan::ask(TimePoint at)
{
    if (m_plannedFor && *m_plannedFor <= at)
        return std::nullopt;
    m_plannedFor = at;
    return at;
}

bool PassPlan::begins(TimePoint at)
{
    if (m_plannedFor != at)
        return false;
    m_plannedFor.reset();
    return true;
}

} // namespace rattanrack::node
