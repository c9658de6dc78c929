#include "rattanrack/node/fleet_service.h"

#include "rattanrack/base/log.h"

#include <algorithm>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration tableInterval = 500ms;
constexpr Duration listInterval = 1s;
constexpr Duration observeInterval = 1s;
constexpr Duration planInterval = 500ms;
constexpr Duration fullReadInterval = 60s;

/// Merges `rows` into `known` by id. With `isComplete`, ids that are not listed are removed.
template <typename Id, typename Record>
void merge(std::map<Id, Record>& known, std::vector<Record> rows, bool isComplete)
{
    if (isComplete)
        known.clear();
    for (Record& record : rows) {
        Record& entry = known[record.id];
        if (entry.version <= record.version)
            entry = std::move(record);
    }
}

Result<void> checkpointAll(platform::Worker& worker)
{
    BOOST_LEAF_AUTO(report, worker.report());
    for (const platform::TaskUsage& task : report.tasks)
        BOOST_LEAF_CHECK(worker.stop(task.attempt, platform::StopMode::Checkpoint));
    return {};
}

policy::PoolSettings settingsOf(const config::Pool& pool, std::uint64_t version)
{
    return {
        .desired = pool.workers,
        .floor = pool.minAvailable,
        .maxPlannedDown = pool.maxPlannedDown,
        .mayBorrow = pool.mayBorrow,
        .mayLend = pool.mayLend,
        .configVersion = version,
    };
}

policy::PoolPolicy trafficPolicyOf(const config::Pool& pool)
{
    return {
        .pool = pool.id,
        .maxQueued = pool.maxQueued,
        .maxQueuedBytes = pool.maxQueuedBytes,
        .maxEjectedShare = pool.maxEjectedShare,
        .retryBudget = pool.retryBudget,
    };
}

} // namespace

FleetService::FleetService(Parts parts)
    : m_parts(std::move(parts))
    , m_planner(m_parts.self)
{
}

void FleetService::start()
{
    readList();
    readTable();
    observeWorkers();
    plan();
}

void FleetService::setConfiguration(const config::Federation& federation, std::uint64_t version)
{
    m_snapshot.settings.clear();
    m_kinds.clear();
    m_pools.clear();
    m_teams.clear();
    for (const config::Pool& pool : federation.pools) {
        m_snapshot.settings.emplace(pool.id, settingsOf(pool, version));
        m_pools.push_back(trafficPolicyOf(pool));
        for (const config::Kind& kind : pool.kinds)
            m_kinds.push_back({ kind.id, pool.id, kind.weight, kind.floorShare });
    }
    for (const config::Team& team : federation.teams)
        m_teams.push_back({ team.id, team.share });
    m_snapshot.sparePool = federation.sparePool;
    m_snapshot.sharedBudget = federation.sharedBudget;
    m_snapshot.configVersion = version;
    m_mustPublish = true;
    publishView();
}

void FleetService::setPlanner(bool isPlanner)
{
    if (m_isPlanner == isPlanner)
        return;
    m_isPlanner = isPlanner;
    m_needsFullRead = true;
    logEvent("fleet.planner", { { "isPlanner", isPlanner } });
}

void FleetService::readTable()
{
    const TimePoint now = m_parts.clock.now();
    const bool isComplete = m_needsFullRead || m_nextFullRead.hasPassed(now);
    if (isComplete)
        m_nextFullRead = Deadline::after(now, fullReadInterval);
    const platform::RowVersion from = isComplete ? 0 : m_readFrom;
    const bool isAccepted = m_parts.platformThreads.submit([this, from] {
        auto rows = valueOrNothing([&] { return m_parts.store.read(from); },
            [](const Error& error) {
                logEvent("fleet.table_read_failed", { { "error", describe(error) } }, LogLevel::Warning);
            });
        m_parts.control.post([this, rows = std::move(rows)] { onTableRead(rows); });
    });
    if (!isAccepted)
        m_parts.control.at(Deadline::after(now, tableInterval), [this] { readTable(); });
}

void FleetService::onTableRead(std::optional<FleetRows> rows)
{
    const TimePoint now = m_parts.clock.now();
    m_parts.control.at(Deadline::after(now, tableInterval), [this] { readTable(); });
    if (!rows)
        return;
    m_lastTableContact = now;
    m_needsFullRead = m_needsFullRead && !rows->isComplete;
    m_readFrom = rows->version;
    const auto highest = [this](const auto& records) {
        for (const auto& record : records)
            m_viewVersion = std::max(m_viewVersion, record.version);
    };
    highest(rows->vms);
    highest(rows->pools);
    merge(m_snapshot.vms, std::move(rows->vms), rows->isComplete);
    merge(m_snapshot.pools, std::move(rows->pools), rows->isComplete);
    merge(m_snapshot.rollOuts, std::move(rows->rollOuts), rows->isComplete);
    if (rows->borrowing && rows->borrowing->version >= m_snapshot.borrowing.version)
        m_snapshot.borrowing = *rows->borrowing;
    publishView();
}

void FleetService::readList()
{
    const bool isAccepted = m_parts.platformThreads.submit([this] {
        auto vms = valueOrNothing([&] { return m_parts.vmList.list(); },
            [](const Error& error) {
                logEvent("fleet.list_read_failed", { { "error", describe(error) } }, LogLevel::Warning);
            });
        m_parts.control.post([this, vms = std::move(vms)] { onListRead(vms); });
    });
    if (!isAccepted)
        m_parts.control.at(Deadline::after(m_parts.clock.now(), listInterval), [this] { readList(); });
}

void FleetService::onListRead(std::optional<std::vector<platform::VmDescription>> vms)
{
    m_parts.control.at(Deadline::after(m_parts.clock.now(), listInterval), [this] { readList(); });
    if (!vms)
        return;
    if (m_snapshot.hasList && *vms == m_list)
        return;
    m_list = std::move(*vms);
    m_parts.workers.update(m_list);
    m_snapshot.hasList = true;
    m_snapshot.listed.clear();
    for (const platform::VmDescription& vm : m_list)
        m_snapshot.listed.emplace(
            vm.id, policy::ListedVm { vm.id, vm.rack, vm.dataCenter, vm.state == platform::VmState::Leaving });
    publishView();
}

void FleetService::observeWorkers()
{
    m_parts.control.at(Deadline::after(m_parts.clock.now(), observeInterval), [this] { observeWorkers(); });
    if (!m_isPlanner)
        return;
    for (const platform::VmDescription& vm : m_list) {
        const auto worker = m_parts.workers.find(vm.id);
        if (!worker)
            continue;
        (void)m_parts.platformThreads.submit([this, id = vm.id, worker] {
            handle(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(report, worker->report());
                    m_parts.control.post([this, id, report] {
                        m_snapshot.observations[id] = {
                            .bootId = report.bootId,
                            .epoch = report.poolEpoch,
                            .isDraining = report.isDraining,
                            .busySlots = static_cast<std::uint32_t>(report.busySlots.count()),
                            .heardAt = m_parts.clock.now(),
                        };
                    });
                    return {};
                },
                [](const Error&) {});
        });
    }
}

void FleetService::plan()
{
    const TimePoint now = m_parts.clock.now();
    m_parts.control.at(Deadline::after(now, planInterval), [this] { plan(); });
    // The next plan waits for the outcome of the last one, since its changes would fail on their version conditions.
    if (!m_isPlanner || m_needsFullRead || m_snapshot.settings.empty() || m_changesInFlight > 0)
        return;
    for (const policy::FleetStep& step : m_planner.plan(m_snapshot, now))
        std::visit([this](const auto& each) { execute(each); }, step);
}

void FleetService::execute(const policy::FleetChange& change)
{
    commit(change, [this](const platform::CommitOutcome& outcome) {
        if (outcome.status != platform::CommitStatus::Done)
            m_needsFullRead = true;
    });
}

void FleetService::commit(policy::FleetChange change, OnCommitted onDone)
{
    ++m_changesInFlight;
    auto done = std::make_shared<OnCommitted>(std::move(onDone));
    const auto conclude = [this, done](platform::CommitOutcome outcome) {
        --m_changesInFlight;
        (*done)(std::move(outcome));
    };
    auto shared = std::make_shared<policy::FleetChange>(std::move(change));
    const bool isAccepted = m_parts.platformThreads.submit([this, shared, conclude] {
        auto outcome = m_parts.store.commit(*shared);
        logEvent("fleet.change",
            { { "attempt", shared->attempt.value() }, { "reason", shared->reason },
                { "status", static_cast<int>(outcome.status) }, { "vms", shared->vms.size() } });
        m_parts.control.post([conclude, outcome = std::move(outcome)] { conclude(outcome); });
    });
    if (!isAccepted)
        conclude({ platform::CommitStatus::Unavailable, 0, "no platform thread" });
}

void FleetService::execute(const policy::WorkerCommand& command)
{
    const auto worker = m_parts.workers.find(command.vm);
    if (!worker)
        return;
    (void)m_parts.platformThreads.submit([worker, command] {
        handle(
            [&]() -> Result<void> {
                switch (command.action) {
                case policy::WorkerAction::StopTakingWork:
                    return worker->setDraining(true, command.epoch, command.bootId);
                case policy::WorkerAction::TakeWork:
                    return worker->setDraining(false, command.epoch, command.bootId);
                case policy::WorkerAction::Checkpoint:
                    return checkpointAll(*worker);
                case policy::WorkerAction::Reboot:
                case policy::WorkerAction::Replace:
                    return worker->reboot(command.epoch, command.bootId);
                }
                return {};
            },
            [&](const Error& error) {
                logEvent("fleet.command_failed",
                    { { "vm", command.vm.value() }, { "action", policy::name(command.action) },
                        { "error", describe(error) } },
                    LogLevel::Warning);
            });
    });
}

void FleetService::publishView()
{
    std::vector<policy::WorkerView> workers;
    for (const platform::VmDescription& vm : m_list) {
        const auto record = m_snapshot.vms.find(vm.id);
        if (record == m_snapshot.vms.end())
            continue;
        workers.push_back({
            .id = vm.id,
            .pool = record->second.pool,
            .poolEpoch = record->second.epoch,
            .rack = vm.rack,
            .dataCenter = vm.dataCenter,
            .capacity = vm.capacity,
            .slots = vm.slots,
            .takesWork = policy::takesWork(m_snapshot, record->second),
        });
    }
    if (!m_mustPublish && workers == m_publishedWorkers)
        return;
    m_mustPublish = false;
    m_publishedWorkers = workers;
    m_parts.onView({ std::move(workers), m_kinds, m_teams, m_pools });
}

} // namespace rattanrack::node
