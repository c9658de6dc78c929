#include "soak/world.h"

#include "rattanrack/base/invariant.h"
#include "rattanrack/base/log.h"

#include <algorithm>

/// The end of a run: faults stop, and everything that was started has to come to its end.
namespace rattanrack::soak {

using namespace policy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t maxSettleSteps = 21600; ///< 90 minutes of virtual time.

bool hasEnded(const RollOutRecord& rollOut)
{
    return rollOut.state == RollOutState::Finished || rollOut.state == RollOutState::Aborted;
}

} // namespace

void World::endFaults()
{
    m_hasFaults = false;
    m_outageUntil = m_now;
    ++m_configVersion;
    for (auto& [id, settings] : m_settings) {
        settings = {};
        settings.desired = static_cast<std::uint32_t>(m_vmCount / m_settings.size());
        settings.configVersion = m_configVersion;
    }
    for (auto& node : m_nodes) {
        node.pausedUntil = m_now;
        node.cutOffUntil = m_now;
    }
    for (auto& [id, worker] : m_workers.all())
        worker.upAt = std::min(worker.upAt, m_now + 30s);
}

bool World::isSettled() const
{
    const auto& rows = m_table.rows();
    const bool allServe = std::all_of(
        rows.vms.begin(), rows.vms.end(), [](const auto& entry) { return entry.second.phase == VmPhase::Serving; });
    const bool allEnded = std::all_of(
        rows.rollOuts.begin(), rows.rollOuts.end(), [](const auto& entry) { return hasEnded(entry.second); });
    return allServe && allEnded && !rows.vms.empty();
}

/// Resumes what was paused and ends drains, which have no end of their own.
void World::settleAll()
{
    endFaults();
    std::uint64_t steps = 0;
    for (; steps < maxSettleSteps && !isSettled(); ++steps) {
        step();
        if (steps % 40 != 39)
            continue;
        auto& node = m_nodes.front();
        for (const auto& [id, rollOut] : m_table.rows().rollOuts) {
            if (hasEnded(rollOut))
                continue;
            const AttemptId attempt = node.planner->nextAttempt();
            if (rollOut.kind == RollOutKind::Drain)
                submit(0, abortRollOut(m_table.rows(), id, attempt));
            else if (rollOut.state == RollOutState::Paused)
                submit(0, resumeRollOut(m_table.rows(), id, attempt));
        }
    }
    if (isSettled())
        return;
    for (const auto& [id, vm] : m_table.rows().vms) {
        logEvent("soak.vm",
            { { "vm", id.value() }, { "pool", vm.pool.value() }, { "phase", name(vm.phase) },
                { "operation", vm.operation.value() }, { "epoch", vm.epoch } });
    }
    for (const auto& [id, rollOut] : m_table.rows().rollOuts) {
        if (!hasEnded(rollOut))
            logEvent("soak.rollout",
                { { "id", id.value() }, { "kind", name(rollOut.kind) }, { "state", name(rollOut.state) } });
    }
    checkInvariant(false, "soak.everything_ends");
}

} // namespace rattanrack::soak
