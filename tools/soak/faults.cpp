#include "soak/world.h"

#include <algorithm>

namespace rattanrack::soak {

using namespace policy;
using namespace std::chrono_literals;

const std::vector<World::Fault>& World::allFaults()
{
    static const std::vector<Fault> s_faults { &World::pauseNode, &World::replaceNode, &World::cutNodeOff,
        &World::crashWorker, &World::crashDomain, &World::loseVm, &World::addVm, &World::startOutage,
        &World::changeSettings };
    return s_faults;
}

void World::breakSomething()
{
    const Fault fault = m_random.pick(m_faults);
    (this->*fault)();
    if (m_random.oneIn(4))
        (this->*fault)();
}

void World::pauseNode()
{
    m_random.pick(m_nodes).pausedUntil = m_now + 250ms * static_cast<std::int64_t>(m_random.below(400));
}

void World::replaceNode()
{
    auto& node = m_random.pick(m_nodes);
    node = {};
    node.id = NodeId { "node" + std::to_string(m_names++) };
    node.planner = std::make_unique<FleetPlanner>(node.id);
}

void World::cutNodeOff()
{
    m_random.pick(m_nodes).cutOffUntil = m_now + 250ms * static_cast<std::int64_t>(m_random.below(300));
}

void World::crashWorker()
{
    auto& workers = m_workers.all();
    if (!workers.empty())
        m_workers.crash(m_random.pick(workers).first, m_now + 1s * static_cast<std::int64_t>(m_random.below(120)));
}

void World::crashDomain()
{
    auto& workers = m_workers.all();
    if (workers.empty())
        return;
    const auto& example = m_random.pick(workers).second;
    const RackId rack = example.rack;
    const DataCenterId dataCenter = example.dataCenter;
    const bool isWholeDataCenter = m_random.oneIn(3);
    const TimePoint upAt = m_now + 1s * static_cast<std::int64_t>(m_random.below(120));
    for (auto& [id, worker] : workers) {
        if (worker.dataCenter == dataCenter && (isWholeDataCenter || worker.rack == rack))
            m_workers.crash(id, upAt);
    }
}

void World::loseVm()
{
    auto& workers = m_workers.all();
    if (workers.empty())
        return;
    const VmId id = m_random.pick(workers).first;
    if (m_random.oneIn(2))
        workers.at(id).isLeaving = true;
    else
        m_workers.remove(id);
}

void World::addVm()
{
    if (m_workers.all().size() < m_vmCount + 4)
        newVm();
}

void World::startOutage()
{
    const auto steps = m_random.oneIn(4) ? m_random.below(400) : m_random.below(20);
    m_outageUntil = m_now + 250ms * static_cast<std::int64_t>(steps);
}

void World::changeSettings()
{
    ++m_configVersion;
    const auto size = static_cast<std::uint32_t>(m_vmCount / m_settings.size());
    for (auto& [id, settings] : m_settings) {
        settings.desired = size;
        settings.floor = static_cast<std::uint32_t>(m_random.below(size));
        settings.maxPlannedDown = static_cast<std::uint32_t>(1 + m_random.below(3));
        settings.mayBorrow = static_cast<std::uint32_t>(m_random.below(3));
        settings.mayLend = static_cast<std::uint32_t>(m_random.below(3));
        settings.survives = static_cast<FailureDomain>(m_random.below(3));
        settings.configVersion = m_configVersion;
    }
}

void World::operate()
{
    const auto index = m_random.below(m_nodes.size());
    auto& node = m_nodes[index];
    if (m_now < node.pausedUntil || node.view.vms.empty())
        return;
    submit(index, randomCommand(node));
    // Two operators with the same idea.
    if (m_random.oneIn(4))
        submit(index, randomCommand(node));
}

CommandAnswer World::randomCommand(Node& node)
{
    const auto& view = node.view;
    const AttemptId attempt = node.planner->nextAttempt();
    if (view.rollOuts.empty() || m_random.oneIn(3)) {
        const RollOutId id { "r" + std::to_string(m_names++) };
        const auto kind = static_cast<RollOutKind>(m_random.below(4));
        const auto& example = m_random.pick(view.vms).second;
        std::vector<VmId> targets { example.id };
        if (m_random.oneIn(2))
            targets = vmsIn(view, example.dataCenter, m_random.oneIn(2) ? RackId {} : example.rack);
        const auto maxAtOnce = static_cast<std::uint32_t>(m_random.below(4));
        return startRollOut(view, { id, kind, targets, m_random.pick(m_settings).first, maxAtOnce, {} }, attempt);
    }
    const RollOutId id = m_random.pick(view.rollOuts).first;
    const auto what = m_random.below(4);
    if (what == 0)
        return pauseRollOut(view, id, attempt);
    if (what == 1)
        return abortRollOut(view, id, attempt);
    return resumeRollOut(view, id, attempt);
}

void World::submit(std::size_t node, const CommandAnswer& answer)
{
    const auto* change = std::get_if<FleetChange>(&answer);
    if (!change)
        return;
    carryOut(m_nodes[node], *change);
    m_report.rollOuts += change->reason == "rollout.start" ? 1 : 0;
}

} // namespace rattanrack::soak
