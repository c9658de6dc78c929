#include "soak/world.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>
#include <array>

namespace rattanrack::soak {

using namespace policy;
using namespace std::chrono_literals;

namespace {

constexpr Duration stepTime = 250ms;
constexpr Duration rebootTime = 20s;
constexpr Duration viewLimit = 2s; ///< A node sends no work by an older view, unless the table is down.
constexpr Duration leavingLimit = 3s; ///< A target that stopped serving this long ago receives nothing.
constexpr std::size_t maxListLag = 16; ///< Steps.

const PoolId spare { "pool0" };

PlannerTimes timesOfRun()
{
    PlannerTimes times;
    times.rebootTimeout = 60s;
    times.drainPatience = 30s;
    return times;
}

} // namespace

World::World(std::uint64_t seed)
    : m_random(seed)
    , m_workers(m_random)
{
    static constexpr std::array<std::uint64_t, 3> s_stepsPerFault { 60, 300, 1500 };
    m_stepsPerFault = m_random.pick(s_stepsPerFault);
    m_faults = allFaults();
    if (m_random.oneIn(2))
        m_faults = { m_random.pick(m_faults) };
    const auto pools = 2 + m_random.below(4);
    m_vmCount = pools * (3 + m_random.below(5));
    for (std::uint64_t i = 0; i < pools; ++i)
        m_settings[PoolId { "pool" + std::to_string(i) }] = {};
    changeSettings();
    for (std::size_t i = 0; i < m_vmCount; ++i)
        newVm();
    const auto nodes = 2 + m_random.below(3);
    for (std::uint64_t i = 0; i < nodes; ++i) {
        m_nodes.emplace_back();
        m_nodes.back().id = NodeId { "node" + std::to_string(i) };
        m_nodes.back().planner = std::make_unique<FleetPlanner>(m_nodes.back().id, timesOfRun());
    }
}

VmId World::newVm()
{
    const auto place = m_names++;
    VmId id { "vm" + std::to_string(place) };
    const auto dataCenter = place % 3;
    m_workers.add(id, RackId { "rack" + std::to_string(place / 12) },
        DataCenterId { "dc" + std::to_string(dataCenter) }, m_now + 1s);
    return id;
}

WorldReport World::run(std::uint64_t steps)
{
    for (std::uint64_t i = 0; i < steps; ++i)
        step();
    settleAll();
    m_report.rowsWritten = m_table.rowsWritten();
    m_report.conflicts = m_table.conflicts();
    m_report.reboots = m_workers.reboots();
    return m_report;
}

void World::step()
{
    m_now += stepTime;
    m_report.steps++;
    m_table.advance(m_now);
    if (m_hasFaults && m_random.oneIn(m_stepsPerFault))
        breakSomething();
    if (m_hasFaults && m_random.oneIn(40))
        operate();
    platform();
    deliverCommands();
    for (auto& node : m_nodes) {
        if (m_now >= node.pausedUntil)
            actNode(node);
    }
}

void World::platform()
{
    std::map<VmId, ListedVm> list;
    std::vector<VmId> gone;
    for (auto& [id, worker] : m_workers.all()) {
        if (worker.isLeaving) {
            const auto since = m_leavingSince.try_emplace(id, m_now).first->second;
            if (m_now - since > 30s)
                gone.push_back(id);
        }
        list[id] = { id, worker.rack, worker.dataCenter, worker.isLeaving };
    }
    for (const auto& id : gone)
        m_workers.remove(id);
    if (m_workers.all().size() < m_vmCount && (!m_hasFaults || m_random.oneIn(40)))
        newVm();
    m_lists.push_front(std::move(list));
    if (m_lists.size() > maxListLag)
        m_lists.pop_back();
}

void World::deliverCommands()
{
    std::vector<InFlight> waiting;
    for (const auto& order : m_inFlight) {
        if (order.at > m_now)
            waiting.push_back(order);
        else
            m_workers.obey(order.command, m_now, rebootTime);
    }
    m_inFlight = std::move(waiting);
}

void World::actNode(Node& node)
{
    observe(node);
    readPart(node);
    for (int i = 0; i < 4 && !node.pending.empty(); ++i) {
        const FleetStep next = std::move(node.pending.front());
        node.pending.pop_front();
        carryOut(node, next);
        if (m_hasFaults && m_random.oneIn(100)) {
            node.pausedUntil = m_now + stepTime * static_cast<std::int64_t>(m_random.below(200));
            return;
        }
    }
    for (int i = 0; i < 3; ++i)
        dispatch(node);
}

/// Reads one part of the rows at a time, so that snapshots are torn; plans after the last.
void World::readPart(Node& node)
{
    if (!isTableUp())
        return;
    const auto& rows = m_table.rows();
    // Parts come in any order; without faults, in turn.
    switch (m_hasFaults ? m_random.below(3) : node.readStage % 3) {
    case 0:
        node.view.pools = rows.pools;
        node.view.borrowing = rows.borrowing;
        break;
    case 1:
        node.view.vms = rows.vms;
        node.vmsReadAt = m_now;
        break;
    default:
        node.view.rollOuts = rows.rollOuts;
    }
    if (++node.readStage % 3 != 0)
        return;
    const auto lag = m_hasFaults ? m_random.below(m_lists.size()) : 0;
    node.view.listed = m_lists[lag];
    node.view.hasList = true;
    if (!m_hasFaults || m_random.oneIn(4)) {
        node.view.settings = m_settings;
        node.view.configVersion = m_configVersion;
        node.view.sharedBudget = 3;
        node.view.sparePool = spare;
    }
    for (auto& step : node.planner->plan(node.view, m_now, randomWishes(node)))
        node.pending.push_back(std::move(step));
}

void World::observe(Node& node)
{
    if (m_now < node.cutOffUntil)
        return;
    node.unreachable.clear();
    for (const auto& [id, worker] : m_workers.all()) {
        if (m_hasFaults && m_random.oneIn(20))
            continue;
        if (const auto report = m_workers.report(id, m_now))
            node.view.observations[id] = *report;
    }
}

std::vector<MoveWish> World::randomWishes(const Node& node)
{
    if (!m_hasFaults || node.view.vms.empty() || !m_random.oneIn(10))
        return {};
    return { { m_random.pick(node.view.vms).first, m_random.pick(m_settings).first } };
}

void World::carryOut(Node& node, const FleetStep& step)
{
    if (const auto* change = std::get_if<FleetChange>(&step))
        carryOut(node, *change);
    else
        carryOut(node, std::get<WorkerCommand>(step));
}

void World::carryOut(Node&, const FleetChange& change)
{
    if (!isTableUp())
        return;
    if (m_hasFaults && m_random.oneIn(30))
        return;
    if (m_hasFaults && m_random.oneIn(30)) {
        m_table.commitLater(change, m_now + stepTime * static_cast<std::int64_t>(m_random.below(400)));
        return;
    }
    const auto answer = m_table.commit(change, m_now);
    // The same request may reach the table twice.
    if (m_hasFaults && m_random.oneIn(30))
        checkInvariant(m_table.commit(change, m_now) != fakes::CommitAnswer::Done, "table.change_applies_once");
    if (answer == fakes::CommitAnswer::Done && change.reason == "move.drain")
        m_report.moves++;
}

void World::carryOut(Node& node, const WorkerCommand& order)
{
    if (m_now < node.cutOffUntil)
        return;
    if (!m_hasFaults) {
        m_inFlight.push_back({ order, m_now });
        return;
    }
    const auto copies = m_random.oneIn(10) ? 0 : m_random.oneIn(10) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto delay = m_random.oneIn(20) ? m_random.below(400) : m_random.below(3);
        m_inFlight.push_back({ order, m_now + stepTime * static_cast<std::int64_t>(delay) });
    }
}

void World::dispatch(Node& node)
{
    const bool isViewFresh = m_now - node.vmsReadAt <= viewLimit;
    if (node.view.vms.empty() || (!isViewFresh && isTableUp()))
        return;
    const auto& [id, vm] = m_random.pick(node.view.vms);
    if (!takesWork(node.view, vm))
        return;
    const bool wasTableUp = m_now - m_outageUntil > leavingLimit + viewLimit;
    const TimePoint stopped = m_table.stoppedServingAt(id);
    const bool isLong = stopped != TimePoint::max() && m_now - stopped > leavingLimit;
    checkInvariant(!wasTableUp || !isLong, "dispatch.none_to_target_that_left", id.value());
    m_report.dispatches++;
    const fakes::FakeTask task { vm.pool, m_now + stepTime * static_cast<std::int64_t>(1 + m_random.below(40)), m_now };
    if (!m_workers.dispatch(id, task, vm.epoch, m_now)) {
        m_report.refusedDispatches++;
        return;
    }
    const auto row = m_table.rows().vms.find(id);
    // Accepted work belongs to the pool that the row named under this epoch.
    const bool isSameEpoch = row != m_table.rows().vms.end() && row->second.epoch == vm.epoch;
    checkInvariant(!isSameEpoch || row->second.pool == vm.pool, "dispatch.epoch_means_one_pool", id.value());
}

} // namespace rattanrack::soak
