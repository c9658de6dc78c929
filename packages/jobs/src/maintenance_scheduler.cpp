#include "rattanrack/jobs/maintenance_scheduler.h"

#include "cbor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int drainDivisor = 5; ///< At most one in this many machines of a pool is draining or down at once.
constexpr int drainDivisorWhenLate = 3;
constexpr int extraDrainingMachines = 3; ///< Machines that are drained in advance while others are down.
constexpr Duration retryDelay = 400ms;
/// A machine list that is requested at least this long after the result of a command reflects the command's effect.
constexpr Duration listLag = 3s;
/// A machine that is missing from a list requested this long after it was last known to exist has been removed.
constexpr Duration removalDelay = 4s;
constexpr double highLoad = 0.85; ///< Machines of pools with a higher load are drained only if the wave is late.
constexpr double lateThreshold = 0.5; ///< A wave is late once this share of its time limit has elapsed.

} // namespace

std::string encode(const WaveProgress& progress)
{
    Json started = Json::array();
    for (const MachineId& machine : progress.startedMachines)
        started.push_back(machine.value());
    return toCbor({ { "number", progress.number }, { "arrived", progress.receivedUnixMs },
        { "begun", std::move(started) }, { "completed", progress.isCompleted } });
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

MaintenanceScheduler::MaintenanceScheduler(std::vector<WaveProgress> stored, TimePoint commandsAllowedFrom)
    : m_commandsAllowedFrom(commandsAllowedFrom)
{
    for (WaveProgress& progress : stored)
        m_stored[progress.number] = std::move(progress);
}

void MaintenanceScheduler::setWaves(const std::vector<MaintenanceWave>& waves, std::int64_t unixMs, TimePoint now)
{
    for (const MaintenanceWave& wave : waves) {
        const auto known = m_waves.find(wave.number);
        for (const MachineId& machine : wave.machines) {
            const bool isNamedNow = known == m_waves.end()
                || std::find(known->second.request.machines.begin(), known->second.request.machines.end(), machine)
                    == known->second.request.machines.end();
            if (isNamedNow)
                m_machines[machine].membership.recordKnown(now);
        }
        if (known != m_waves.end()) {
            known->second.request = wave;
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

void MaintenanceScheduler::setMachines(const std::vector<Machine>& machines, TimePoint requestedAt, TimePoint now)
{
    m_listRequestedAt = requestedAt;
    m_poolSizes.clear();
    for (auto& [id, tracked] : m_machines)
        tracked.membership.recordMissing(requestedAt);
    for (const Machine& machine : machines) {
        TrackedMachine& tracked = m_machines[machine.id];
        tracked.machine = machine;
        tracked.membership.recordListed(now);
        ++m_poolSizes[machine.pool];
        if (!tracked.isTakenDown || tracked.isCommandInFlight || requestedAt <= tracked.resultAt)
            continue;
        // If the command had already been carried out before, repeating it does not take the machine down again, and
        // the machine stays up.
        const bool isUp = machine.state == MachineState::Up;
        const bool isBack = isUp && !machine.worker.isEmpty() && machine.worker != tracked.workerBefore;
        const bool hasNotGoneDown = isUp && requestedAt - tracked.resultAt >= listLag;
        if (isBack || hasNotGoneDown)
            tracked.isTakenDown = tracked.mayBeDown = false;
    }
}

std::map<PoolId, double> MaintenanceScheduler::poolLoads() const
{
    std::map<PoolId, Millicores> capacities;
    for (const auto& [id, tracked] : m_machines) {
        if (tracked.membership.isListed() && tracked.machine.state == MachineState::Up)
            capacities[tracked.machine.pool] += tracked.machine.capacity.processors;
    }
    std::map<PoolId, double> loads;
    for (const auto& [pool, load] : m_loads) {
        const double capacity = static_cast<double>(capacities[pool].count());
        const double demand = static_cast<double>((load.used + load.waiting).count());
        loads[pool] = capacity > 0 ? demand / capacity : 1;
    }
    return loads;
}

int MaintenanceScheduler::machinesDown(const ActiveWave& wave) const
{
    int down = 0;
    for (const MachineId& machine : wave.request.machines) {
        const auto found = m_machines.find(machine);
        if (found == m_machines.end() || found->second.membership.isGone(removalDelay))
            continue;
        const TrackedMachine& tracked = found->second;
        down += tracked.isTakenDown || tracked.isCommandInFlight || tracked.machine.state == MachineState::Maintenance
            ? 1
            : 0;
    }
    return down;
}

bool MaintenanceScheduler::canBeTakenDown(const TrackedMachine& tracked, TimePoint now) const
{
    return !m_movingMachines.contains(tracked.machine.id) && tracked.membership.isListed()
        && tracked.machine.state == MachineState::Up && !tracked.isTakenDown && !tracked.isCommandInFlight
        && now >= tracked.retryAt;
}

bool MaintenanceScheduler::isDrained(const TrackedMachine& tracked) const
{
    return !m_ownedPools.contains(tracked.machine.pool) || jobs::isDrained(m_drainedMachines, tracked.machine);
}

MaintenanceScheduler::RemainingMachines MaintenanceScheduler::remainingMachines(const ActiveWave& wave) const
{
    RemainingMachines remaining;
    for (const MachineId& machine : wave.request.machines) {
        if (wave.progress.startedMachines.contains(machine))
            continue;
        const ListMembership& membership = m_machines.at(machine).membership;
        if (membership.isListed())
            ++remaining.listed;
        else if (membership.isGone(removalDelay))
            ++remaining.gone;
        else
            ++remaining.unknown;
    }
    return remaining;
}

/// A completed wave is resumed if one of its machines is listed after all: an earlier owner may have taken it for
/// removed.
void MaintenanceScheduler::decideCompletion(ActiveWave& wave, TimePoint now, MaintenanceOutput& output) const
{
    const RemainingMachines remaining = remainingMachines(wave);
    const bool mayBeMissing = !wave.progress.isCompleted && remaining.unknown > 0;
    const bool isCompleted = remaining.listed == 0 && !mayBeMissing;
    if (isCompleted == wave.progress.isCompleted)
        return;
    wave.progress.isCompleted = isCompleted;
    wave.isChanged = true;
    output.decisions.push_back({ wave.progress.number, isCompleted, wave.progress.startedMachines.size(),
        remaining.gone, now - m_listRequestedAt });
}

void MaintenanceScheduler::chooseMachinesToDrain(TimePoint now, std::int64_t unixMs)
{
    auto loads = poolLoads();
    std::map<PoolId, int> unavailable; // Machines of each pool that are draining or down.
    for (const auto& [id, tracked] : m_machines) {
        if (tracked.membership.isListed()
            && (tracked.isTakenDown || tracked.isCommandInFlight || tracked.machine.state != MachineState::Up))
            ++unavailable[tracked.machine.pool];
    }
    std::set<MachineId> draining;
    for (const auto& [number, wave] : m_waves) {
        if (wave.progress.isCompleted)
            continue;
        const double elapsed = static_cast<double>(unixMs - wave.progress.receivedUnixMs) * 1000;
        const bool isLate = elapsed > static_cast<double>(wave.request.timeLimit.count()) * lateThreshold;
        std::vector<const TrackedMachine*> candidates;
        for (const MachineId& machine : wave.request.machines) {
            const auto found = m_machines.find(machine);
            if (found != m_machines.end() && !wave.progress.startedMachines.contains(machine)
                && canBeTakenDown(found->second, now))
                candidates.push_back(&found->second);
        }
        // Order of preference: machines that are already draining, drained machines, machines of pools with a low load.
        std::stable_sort(
            candidates.begin(), candidates.end(), [&](const TrackedMachine* left, const TrackedMachine* right) {
                const auto key = [&](const TrackedMachine* tracked) {
                    return std::tuple { !m_machinesToDrain.contains(tracked->machine.id), !isDrained(*tracked),
                        loads[tracked->machine.pool] };
                };
                return key(left) < key(right);
            });
        int remainingToDrain = std::max(wave.request.maxAtOnce - machinesDown(wave), 0) + extraDrainingMachines;
        for (const TrackedMachine* tracked : candidates) {
            const PoolId& pool = tracked->machine.pool;
            const bool isOwned = m_ownedPools.contains(pool);
            const int limit = std::max(1, m_poolSizes[pool] / (isLate ? drainDivisorWhenLate : drainDivisor));
            const bool isLoadTooHigh
                = isOwned && !isLate && loads[pool] > highLoad && !m_machinesToDrain.contains(tracked->machine.id);
            if (remainingToDrain <= 0 || isLoadTooHigh || (isOwned && unavailable[pool] >= limit))
                continue;
            --remainingToDrain;
            ++unavailable[pool];
            draining.insert(tracked->machine.id);
        }
    }
    m_machinesToDrain = std::move(draining);
}

MaintenanceOutput MaintenanceScheduler::advance(TimePoint now, std::int64_t unixMs)
{
    MaintenanceOutput output;
    if (m_listRequestedAt == TimePoint {})
        return output;
    chooseMachinesToDrain(now, unixMs);
    for (auto& [number, wave] : m_waves) {
        decideCompletion(wave, now, output);
        int remainingToTakeDown = wave.request.maxAtOnce - machinesDown(wave);
        for (const MachineId& machine : wave.request.machines) {
            const auto found = m_machines.find(machine);
            if (now < m_commandsAllowedFrom || found == m_machines.end())
                continue;
            TrackedMachine& tracked = found->second;
            if (tracked.needsRetry && tracked.wave == number && now >= tracked.retryAt) {
                tracked.needsRetry = false;
                tracked.isCommandInFlight = true;
                output.commands.push_back({ machine, number });
                continue;
            }
            if (remainingToTakeDown <= 0 || !m_machinesToDrain.contains(machine)
                || wave.progress.startedMachines.contains(machine) || !canBeTakenDown(tracked, now)
                || !isDrained(tracked))
                continue;
            tracked.isCommandInFlight = true;
            tracked.isTakenDown = true;
            tracked.wave = number;
            tracked.workerBefore = tracked.machine.worker;
            --remainingToTakeDown;
            output.commands.push_back({ machine, number });
        }
        if (std::exchange(wave.isChanged, false))
            output.changedProgress.push_back(wave.progress);
    }
    return output;
}

void MaintenanceScheduler::onResult(const MaintenanceCommand& command, MachineCommandStatus status, TimePoint now)
{
    TrackedMachine& tracked = m_machines[command.machine];
    tracked.isCommandInFlight = false;
    tracked.resultAt = now;
    const auto wave = m_waves.find(command.wave);
    const auto markStarted = [&] {
        if (wave != m_waves.end() && wave->second.progress.startedMachines.insert(command.machine).second)
            wave->second.isChanged = true;
    };
    switch (status) {
    case MachineCommandStatus::Done:
        return markStarted();
    case MachineCommandStatus::NotInWave:
    case MachineCommandStatus::Impossible:
        tracked.isTakenDown = false;
        return markStarted();
    case MachineCommandStatus::Busy:
    case MachineCommandStatus::StaleFence:
    case MachineCommandStatus::Unavailable:
        tracked.isTakenDown = tracked.mayBeDown;
        tracked.retryAt = now + retryDelay;
        return;
    case MachineCommandStatus::NoResponse:
        tracked.mayBeDown = true;
        // The machine counts as down. Repeating the command is harmless, and the result of the repeated command shows
        // the outcome.
        tracked.needsRetry = true;
        tracked.retryAt = now + retryDelay;
        return;
    }
}

std::set<MachineId> MaintenanceScheduler::drainingMachines() const
{
    std::set<MachineId> machines = m_machinesToDrain;
    for (const auto& [id, tracked] : m_machines) {
        const bool isDown = tracked.isTakenDown && !tracked.membership.isGone(removalDelay);
        if (isDown || tracked.isCommandInFlight)
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
