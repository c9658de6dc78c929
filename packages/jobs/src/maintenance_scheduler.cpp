#include "rattanrack/jobs/maintenance_scheduler.h"

#include "cbor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int poolShare = 5; ///< One machine of this many is closed or down at once.
constexpr int poolShareWhenLate = 3;
constexpr int lookAhead = 3; ///< Machines that are emptied while others are down.
constexpr Duration pauseAfterRefusal = 400ms;
constexpr Duration listLag = 3s; ///< A list asked for this long after an answer shows what came of it.
constexpr Duration unlistedTime = 4s; ///< A machine that the list lacks for this long has gone.
constexpr double fullPool = 0.85; ///< Pools beyond this load are left alone while there is time.
constexpr double lateShare = 0.5; ///< Of the time: from then on full pools are not spared.

} // namespace

std::string encode(const WaveProgress& progress)
{
    Json begun = Json::array();
    for (const MachineId& machine : progress.startedMachines)
        begun.push_back(machine.value());
    return toCbor({ { "number", progress.number }, { "arrived", progress.receivedUnixMs },
        { "begun", std::move(begun) }, { "completed", progress.isCompleted } });
}

Result<WaveProgress> decodeWaveProgress(const std::string& bytes)
{
    return fromCbor("wave.decode", bytes, [](const Json& json) {
        WaveProgress progress { json.at("number").get<std::int64_t>(), json.at("arrived").get<std::int64_t>(), {},
            json.at("completed").get<bool>() };
        for (const Json& machine : json.at("begun"))
            progress.startedMachines.insert(MachineId { machine.get<std::string>() });
        return progress;
    });
}

MaintenanceScheduler::MaintenanceScheduler(std::vector<WaveProgress> stored, TimePoint mayOrderFrom)
    : m_mayOrderFrom(mayOrderFrom)
{
    for (WaveProgress& progress : stored)
        m_stored[progress.number] = std::move(progress);
}

void MaintenanceScheduler::setWaves(const std::vector<MaintenanceWave>& waves, std::int64_t unixMs)
{
    for (const MaintenanceWave& wave : waves) {
        const auto known = m_waves.find(wave.number);
        if (known != m_waves.end()) {
            known->second.order = wave;
            continue;
        }
        ActiveWave active { wave, { wave.number, unixMs, {}, false }, true };
        const auto stored = m_stored.find(wave.number);
        if (stored != m_stored.end()) {
            active.progress = stored->second;
            active.isChanged = false;
        }
        m_waves.emplace(wave.number, std::move(active));
    }
}

void MaintenanceScheduler::setLoads(const std::vector<CellLoad>& loads)
{
    m_loads.clear();
    for (const CellLoad& load : loads)
        m_loads[load.cell] = load;
}

void MaintenanceScheduler::setMachines(const std::vector<Machine>& machines, TimePoint askedAt, TimePoint now)
{
    m_hasList = true;
    m_poolSizes.clear();
    for (auto& [id, tracked] : m_machines)
        tracked.isListed = false;
    for (const Machine& machine : machines) {
        Tracked& tracked = m_machines[machine.id];
        tracked.machine = machine;
        tracked.isListed = true;
        tracked.listedAt = now;
        ++m_poolSizes[machine.pool];
        if (!tracked.isDown || tracked.isOrderOnItsWay || askedAt <= tracked.answeredAt)
            continue;
        // An order that had been carried out before leaves the machine as it is.
        const bool isUp = machine.state == MachineState::Up;
        const bool isBack = isUp && !machine.worker.isEmpty() && machine.worker != tracked.workerBefore;
        const bool wasNotTaken = isUp && askedAt - tracked.answeredAt >= listLag;
        if (isBack || wasNotTaken)
            tracked.isDown = tracked.mayBeDown = false;
    }
}

std::map<PoolId, double> MaintenanceScheduler::poolLoads() const
{
    std::map<PoolId, Millicores> capacities;
    for (const auto& [id, tracked] : m_machines) {
        if (tracked.isListed && tracked.machine.state == MachineState::Up)
            capacities[tracked.machine.pool] += tracked.machine.capacity.processors;
    }
    std::map<PoolId, double> loads;
    for (const auto& [pool, load] : m_loads) {
        const double capacity = static_cast<double>(capacities[pool].count());
        const double wanted = static_cast<double>((load.used + load.waiting).count());
        loads[pool] = capacity > 0 ? wanted / capacity : 1;
    }
    return loads;
}

int MaintenanceScheduler::downOf(const ActiveWave& wave) const
{
    int down = 0;
    for (const MachineId& machine : wave.order.machines) {
        const auto found = m_machines.find(machine);
        if (found == m_machines.end())
            continue;
        const Tracked& tracked = found->second;
        down += tracked.isDown || tracked.isOrderOnItsWay || tracked.machine.state == MachineState::Maintenance ? 1 : 0;
    }
    return down;
}

bool MaintenanceScheduler::isUpForOrders(const Tracked& tracked, TimePoint now) const
{
    return !m_moving.contains(tracked.machine.id) && tracked.isListed && tracked.machine.state == MachineState::Up
        && !tracked.isDown && !tracked.isOrderOnItsWay && now >= tracked.orderAgainAt;
}

bool MaintenanceScheduler::isEmpty(const Tracked& tracked) const
{
    return !m_cells.contains(tracked.machine.pool) || m_emptied.contains(tracked.machine.id);
}

bool MaintenanceScheduler::isDone(const ActiveWave& wave, TimePoint now) const
{
    return std::all_of(wave.order.machines.begin(), wave.order.machines.end(), [&](const MachineId& machine) {
        const auto found = m_machines.find(machine);
        const bool hasGone
            = found == m_machines.end() || (!found->second.isListed && now - found->second.listedAt >= unlistedTime);
        return wave.progress.startedMachines.contains(machine) || (hasGone && m_hasList);
    });
}

void MaintenanceScheduler::chooseClosing(TimePoint now, std::int64_t unixMs)
{
    auto loads = poolLoads();
    std::map<PoolId, int> taken; // Machines of each pool that are closed or down.
    for (const auto& [id, tracked] : m_machines) {
        if (tracked.isListed
            && (tracked.isDown || tracked.isOrderOnItsWay || tracked.machine.state != MachineState::Up))
            ++taken[tracked.machine.pool];
    }
    std::set<MachineId> closing;
    for (const auto& [number, wave] : m_waves) {
        if (wave.progress.isCompleted)
            continue;
        const double elapsed = static_cast<double>(unixMs - wave.progress.receivedUnixMs) * 1000;
        const bool isLate = elapsed > static_cast<double>(wave.order.timeLimit.count()) * lateShare;
        std::vector<const Tracked*> due;
        for (const MachineId& machine : wave.order.machines) {
            const auto found = m_machines.find(machine);
            if (found != m_machines.end() && !wave.progress.startedMachines.contains(machine)
                && isUpForOrders(found->second, now))
                due.push_back(&found->second);
        }
        // What is closed already comes first; then empty machines, then pools with little to do.
        std::stable_sort(due.begin(), due.end(), [&](const Tracked* left, const Tracked* right) {
            const auto key = [&](const Tracked* each) {
                return std::tuple { !m_closing.contains(each->machine.id), !isEmpty(*each), loads[each->machine.pool] };
            };
            return key(left) < key(right);
        });
        int room = std::max(wave.order.maxAtOnce - downOf(wave), 0) + lookAhead;
        for (const Tracked* each : due) {
            const PoolId& pool = each->machine.pool;
            const bool isOwned = m_cells.contains(pool);
            const int limit = std::max(1, m_poolSizes[pool] / (isLate ? poolShareWhenLate : poolShare));
            const bool isTooFull
                = isOwned && !isLate && loads[pool] > fullPool && !m_closing.contains(each->machine.id);
            if (room <= 0 || isTooFull || (isOwned && taken[pool] >= limit))
                continue;
            --room;
            ++taken[pool];
            closing.insert(each->machine.id);
        }
    }
    m_closing = std::move(closing);
}

MaintenanceOutput MaintenanceScheduler::advance(TimePoint now, std::int64_t unixMs)
{
    MaintenanceOutput output;
    if (!m_hasList)
        return output;
    chooseClosing(now, unixMs);
    for (auto& [number, wave] : m_waves) {
        if (!wave.progress.isCompleted && isDone(wave, now)) {
            wave.progress.isCompleted = true;
            wave.isChanged = true;
        }
        int room = wave.order.maxAtOnce - downOf(wave);
        for (const MachineId& machine : wave.order.machines) {
            const auto found = m_machines.find(machine);
            if (now < m_mayOrderFrom || found == m_machines.end())
                continue;
            Tracked& tracked = found->second;
            if (tracked.isUnsettled && tracked.wave == number && now >= tracked.orderAgainAt) {
                tracked.isUnsettled = false;
                tracked.isOrderOnItsWay = true;
                output.commands.push_back({ machine, number });
                continue;
            }
            if (room <= 0 || !m_closing.contains(machine) || wave.progress.startedMachines.contains(machine)
                || !isUpForOrders(tracked, now) || !isEmpty(tracked))
                continue;
            tracked.isOrderOnItsWay = true;
            tracked.isDown = true;
            tracked.wave = number;
            tracked.workerBefore = tracked.machine.worker;
            --room;
            output.commands.push_back({ machine, number });
        }
        if (std::exchange(wave.isChanged, false))
            output.changedProgress.push_back(wave.progress);
    }
    return output;
}

void MaintenanceScheduler::onResult(const MaintenanceCommand& order, MachineCommandStatus status, TimePoint now)
{
    Tracked& tracked = m_machines[order.machine];
    tracked.isOrderOnItsWay = false;
    tracked.answeredAt = now;
    const auto wave = m_waves.find(order.wave);
    const auto begin = [&] {
        if (wave != m_waves.end() && wave->second.progress.startedMachines.insert(order.machine).second)
            wave->second.isChanged = true;
    };
    switch (status) {
    case MachineCommandStatus::Done:
        return begin();
    case MachineCommandStatus::NotInWave:
    case MachineCommandStatus::Impossible:
        tracked.isDown = false;
        return begin();
    case MachineCommandStatus::Busy:
    case MachineCommandStatus::StaleFence:
    case MachineCommandStatus::Unavailable:
        tracked.isDown = tracked.mayBeDown;
        tracked.orderAgainAt = now + pauseAfterRefusal;
        return;
    case MachineCommandStatus::NoResponse:
        tracked.mayBeDown = true;
        tracked.isUnsettled = true; // It counts as down; asking again is harmless and tells.
        tracked.orderAgainAt = now + pauseAfterRefusal;
        return;
    }
}

std::set<MachineId> MaintenanceScheduler::drainingMachines() const
{
    std::set<MachineId> machines = m_closing;
    for (const auto& [id, tracked] : m_machines) {
        if (tracked.isDown || tracked.isOrderOnItsWay)
            machines.insert(id);
    }
    return machines;
}

std::vector<WaveProgress> MaintenanceScheduler::waveProgress() const
{
    std::vector<WaveProgress> all;
    for (const auto& [number, wave] : m_waves)
        all.push_back(wave.progress);
    return all;
}

} // namespace rattanrack::jobs
