#include "traffic/usage_guard.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr Duration timeForEffect { 5'000'000 };
constexpr std::int64_t tolerancePercent = 125;
constexpr std::int64_t hundredPercent = 100;

bool isAbove(std::int64_t used, std::int64_t allowed) { return used * hundredPercent > allowed * tolerancePercent; }

bool isMemoryAbove(const ResourceSize& used, const ResourceSize& allowed)
{
    return isAbove(used.memory.count(), allowed.memory.count());
}

bool isAboveItsSize(const Request& request)
{
    return isAbove(request.used.processors.count(), request.size.processors.count())
        || isMemoryAbove(request.used, request.size);
}

bool comesFirst(const Request* left, const Request* right)
{
    if (left->spec.urgency != right->spec.urgency)
        return left->spec.urgency > right->spec.urgency;
    return left->used.memory > right->used.memory;
}

} // namespace

void UsageGuard::remove(const Request& request)
{
    auto found = m_running.find(request.worker);
    if (found == m_running.end())
        return;
    std::erase(found->second, &request);
    if (!found->second.empty())
        return;
    m_running.erase(found);
    m_nextAction.erase(request.worker);
}

std::optional<UsageGuard::Action> UsageGuard::report(
    Request& request, const ResourceSize& used, const ResourceSize& capacity, Slots slots, TimePoint now)
{
    request.used = used;
    auto& next = m_nextAction[request.worker];
    if (!next.hasPassed(now) || slots.count() <= 0)
        return std::nullopt;
    ResourceSize sum;
    std::int64_t credits = 0;
    Request* worst = nullptr;
    for (auto* running : m_running[request.worker]) {
        sum += running->used;
        credits += running->credits;
        if (!running->isStopping && isAboveItsSize(*running) && (!worst || comesFirst(running, worst)))
            worst = running;
    }
    const ResourceSize allowed { Millicores { capacity.processors.count() * credits / slots.count() },
        Mebibytes { capacity.memory.count() * credits / slots.count() }, {} };
    const bool isProcessorShort = isAbove(sum.processors.count(), allowed.processors.count());
    const bool isMemoryShort = isMemoryAbove(sum, allowed);
    if (!worst || (!isProcessorShort && !isMemoryShort))
        return std::nullopt;
    next = Deadline::after(now, timeForEffect);
    const std::uint32_t step = worst->restraints++;
    if (step == 0 && !isMemoryShort)
        return Action { worst, false, Restraint::Throttle };
    if (step <= 1 || !worst->spec.isRepeatable)
        return Action { worst, false, Restraint::Checkpoint };
    return Action { worst, true };
}

} // namespace rattanrack::policy
