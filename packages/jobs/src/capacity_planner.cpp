#include "rattanrack/jobs/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

/// A pool that uses a larger share of its capacity is about to be overloaded.
constexpr double overloadThreshold = 0.75;
/// Limit of concurrent transfers to a pool; a pool whose configured size is larger may have as many as that.
constexpr int minTransferLimit = 10;
constexpr std::size_t maxCommandsPerPass = 10; ///< The platform accepts about sixty a second from all nodes.
constexpr int lendingHeadroom = 1; ///< Machines that a pool keeps beyond its demand while it lends.
/// A pool lends machines only after it has not been full for this long.
constexpr Duration quietTimeBeforeLending = 700ms;
constexpr Duration quietTimeBeforeReturn = 2500ms; ///< Lent machines stay this long after the overload has ended.
constexpr Duration drainTimeout = 4s; ///< A machine that is not drained within this time is not moved.
constexpr Duration arrivalTimeout = 8s;
constexpr Duration retryDelay = 400ms;
/// A machine list requested this long after a command's result shows the command's effect.
constexpr Duration listLag = 3s;

} // namespace

CapacityPlanner::CapacityPlanner(std::map<PoolId, int> sizes, TimePoint commandsAllowedFrom)
    : m_commandsAllowedFrom(commandsAllowedFrom)
    , m_configuredSizes(std::move(sizes))
{
}

void CapacityPlanner::setPools(std::set<PoolId> owned, std::set<PoolId> standby)
{
    m_ownedPools = std::move(owned);
    m_standbyPools = std::move(standby);
}

void CapacityPlanner::setMachines(const std::vector<Machine>& machines, TimePoint requestedAt)
{
    m_machines.clear();
    const bool isFirst = m_configuredSizes.empty();
    for (const Machine& machine : machines) {
        m_machines[machine.id] = machine;
        if (isFirst)
            ++m_configuredSizes[machine.pool];
        const auto transfer = m_transfers.find(machine.id);
        if (transfer == m_transfers.end() || !transfer->second.hasSucceeded
            || requestedAt <= transfer->second.updatedAt)
            continue;
        // A standby machine is off: it has no worker.
        const bool isUp
            = machine.state == MachineState::Up && (!machine.worker.isEmpty() || m_standbyPools.contains(machine.pool));
        const bool hasArrived
            = isUp && machine.pool == transfer->second.to && machine.worker != transfer->second.workerBefore;
        const bool hasNotMoved = isUp && requestedAt - transfer->second.updatedAt >= listLag;
        if (hasArrived || hasNotMoved)
            m_transfers.erase(transfer);
    }
}

void CapacityPlanner::setLoads(const std::vector<CellLoad>& loads, TimePoint now)
{
    m_loads.clear();
    for (const CellLoad& load : loads)
        m_loads[load.cell] = load;
    countPools(now);
}

void CapacityPlanner::countPools(TimePoint now)
{
    m_pools.clear();
    for (const auto& [id, machine] : m_machines) {
        const auto transfer = m_transfers.find(id);
        Pool& here = m_pools[machine.pool];
        here.machineSize = std::max(here.machineSize, machine.capacity.processors);
        if (transfer != m_transfers.end())
            ++m_pools[transfer->second.to].arriving;
        else if (machine.state == MachineState::Up && !m_reservedMachines.contains(id))
            ++here.present;
    }
    for (auto& [id, pool] : m_pools) {
        const auto load = m_loads.find(id);
        if (load == m_loads.end() || pool.machineSize.count() == 0)
            continue;
        const double machineSize = static_cast<double>(pool.machineSize.count()) * overloadThreshold;
        const Millicores currentDemand = load->second.used + load->second.waiting;
        const double demand = static_cast<double>(std::max(currentDemand, load->second.offered).count());
        pool.wanted = static_cast<int>(std::ceil(demand / machineSize));
        if (pool.wanted >= pool.present)
            m_lastFullAt[id] = now;
    }
}

int CapacityPlanner::configuredSize(const PoolId& pool) const
{
    const auto found = m_configuredSizes.find(pool);
    return found == m_configuredSizes.end() ? 0 : found->second;
}

int CapacityPlanner::requiredMachines(const PoolId& pool) const
{
    const auto found = m_pools.find(pool);
    return std::max(configuredSize(pool), found == m_pools.end() ? 0 : found->second.wanted + lendingHeadroom);
}

bool CapacityPlanner::canMove(const Machine& machine, const PoolId& to) const
{
    const bool isAvailable = m_standbyPools.contains(machine.pool) || m_movableMachines.contains(machine.id);
    return isAvailable && machine.state == MachineState::Up && machine.pool != to
        && !m_reservedMachines.contains(machine.id) && !m_transfers.contains(machine.id)
        && !m_rejectedMoves.contains({ machine.kind, to });
}

bool CapacityPlanner::canLend(const PoolId& pool, TimePoint now) const
{
    if (m_standbyPools.contains(pool))
        return true;
    const auto lastFull = m_lastFullAt.find(pool);
    const bool isQuiet = lastFull == m_lastFullAt.end() || now - lastFull->second >= quietTimeBeforeLending;
    return m_ownedPools.contains(pool) && isQuiet && m_pools.at(pool).present > requiredMachines(pool);
}

const Machine* CapacityPlanner::bestSource(const PoolId& to, TimePoint now) const
{
    const Machine* best = nullptr;
    const auto key = [&](const Machine& machine) {
        // Prefers pools with surplus machines, the most recently full one first, to standby pools.
        const bool isStandby = m_standbyPools.contains(machine.pool);
        const auto lastFull = m_lastFullAt.find(machine.pool);
        const TimePoint lastFullAt = lastFull == m_lastFullAt.end() ? TimePoint {} : lastFull->second;
        return std::tuple { isStandby, TimePoint::max() - lastFullAt, machine.id };
    };
    for (const auto& [id, machine] : m_machines) {
        if (canMove(machine, to) && canLend(machine.pool, now) && (!best || key(machine) < key(*best)))
            best = &machine;
    }
    return best;
}

void CapacityPlanner::beginTransfer(const Machine& machine, const PoolId& to, TimePoint now)
{
    m_transfers[machine.id] = { to, machine.worker, false, false, false, now, {} };
    --m_pools[machine.pool].present;
    ++m_pools[to].arriving;
}

bool CapacityPlanner::borrowMachine(const PoolId& to, TimePoint now)
{
    const Machine* source = bestSource(to, now);
    if (!source)
        return false;
    beginTransfer(*source, to, now);
    return true;
}

void CapacityPlanner::growOverloadedPools(TimePoint now)
{
    for (const PoolId& id : m_ownedPools) {
        const auto found = m_pools.find(id);
        if (found == m_pools.end())
            continue;
        Pool& pool = found->second;
        const int transferLimit = std::max(minTransferLimit, configuredSize(id));
        while (pool.wanted > pool.present + pool.arriving && pool.arriving < transferLimit) {
            if (!borrowMachine(id, now))
                break;
        }
    }
}

void CapacityPlanner::returnSurplusMachines(TimePoint now)
{
    for (const auto& [id, machine] : m_machines) {
        if (!m_ownedPools.contains(machine.pool) || m_pools.at(machine.pool).present <= requiredMachines(machine.pool))
            continue;
        const auto lastFull = m_lastFullAt.find(machine.pool);
        if (lastFull != m_lastFullAt.end() && now - lastFull->second < quietTimeBeforeReturn)
            continue;
        PoolId to;
        for (const auto& [other, size] : m_configuredSizes) {
            const auto found = m_pools.find(other);
            const int machineCount = found == m_pools.end() ? 0 : found->second.present + found->second.arriving;
            const bool isBetter = to.isEmpty() || (m_standbyPools.contains(to) && m_ownedPools.contains(other));
            if (other != machine.pool && machineCount < size && isBetter && canMove(machine, other))
                to = other;
        }
        if (to.isEmpty())
            continue;
        beginTransfer(machine, to, now);
    }
}

void CapacityPlanner::dropStaleTransfers(TimePoint now)
{
    std::erase_if(m_transfers, [&](const auto& each) {
        const Transfer& transfer = each.second;
        if (transfer.isCommandInFlight)
            return false;
        const bool isStuck = !transfer.wasCommandSent && now - transfer.updatedAt > drainTimeout;
        const bool isReserved = !transfer.wasCommandSent && m_reservedMachines.contains(each.first);
        const bool isLost = transfer.hasSucceeded && now - transfer.updatedAt > arrivalTimeout;
        return isStuck || isReserved || isLost;
    });
}

std::vector<MoveCommand> CapacityPlanner::advance(TimePoint now)
{
    std::vector<MoveCommand> commands;
    if (m_machines.empty() || now < m_commandsAllowedFrom)
        return commands;
    dropStaleTransfers(now);
    countPools(now);
    growOverloadedPools(now);
    returnSurplusMachines(now);
    for (auto& [id, transfer] : m_transfers) {
        const auto machine = m_machines.find(id);
        const bool isDue = !transfer.isCommandInFlight && !transfer.hasSucceeded && now >= transfer.retryAt;
        if (!isDue || machine == m_machines.end() || commands.size() >= maxCommandsPerPass)
            continue;
        const bool isDrained
            = m_standbyPools.contains(machine->second.pool) || jobs::isDrained(m_drainedMachines, machine->second);
        if (!isDrained && !transfer.wasCommandSent)
            continue;
        transfer.wasCommandSent = true;
        transfer.isCommandInFlight = true;
        commands.push_back({ id, transfer.to });
    }
    return commands;
}

std::set<MachineId> CapacityPlanner::drainingMachines() const
{
    std::set<MachineId> machines;
    for (const auto& [id, transfer] : m_transfers) {
        if (!transfer.hasSucceeded)
            machines.insert(id);
    }
    return machines;
}

std::set<MachineId> CapacityPlanner::machinesInTransfer() const
{
    std::set<MachineId> machines;
    for (const auto& [id, transfer] : m_transfers)
        machines.insert(id);
    return machines;
}

void CapacityPlanner::onResult(const MoveCommand& command, MachineCommandStatus status, TimePoint now)
{
    const auto found = m_transfers.find(command.machine);
    if (found == m_transfers.end())
        return;
    Transfer& transfer = found->second;
    transfer.isCommandInFlight = false;
    switch (status) {
    case MachineCommandStatus::Done:
        transfer.hasSucceeded = true;
        transfer.updatedAt = now;
        return;
    case MachineCommandStatus::NoResponse: // Repeating the command is harmless, and its result shows the outcome.
        transfer.retryAt = now + retryDelay;
        return;
    case MachineCommandStatus::Impossible:
        if (const auto machine = m_machines.find(command.machine); machine != m_machines.end())
            m_rejectedMoves.insert({ machine->second.kind, command.pool });
        break;
    case MachineCommandStatus::Busy:
    case MachineCommandStatus::NotInWave:
    case MachineCommandStatus::StaleFence:
    case MachineCommandStatus::Unavailable:
        break;
    }
    m_transfers.erase(found);
}

} // namespace rattanrack::jobs
