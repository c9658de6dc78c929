#include "rattanrack/jobs/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double fullShare = 0.75; ///< A pool that uses more of its room is about to be flooded.
/// Transfers that any pool may have at the same time; a larger pool as many as its size.
constexpr int smallestTransferBound = 10;
constexpr std::size_t mostOrdersInStep = 10; ///< The platform takes some sixty a second from all nodes.
constexpr int headroom = 1; ///< Machines that a pool keeps beyond its need while it lends.
constexpr Duration quietBeforeLending = 700ms; ///< A pool lends only after it has not been full for this long.
constexpr Duration quietBeforeReturn = 2500ms; ///< Lent machines stay this long after the flood has ended.
constexpr Duration emptyingPatience = 4s; ///< A machine that is not empty by then is not moved.
constexpr Duration arrivalPatience = 8s;
constexpr Duration pauseAfterRefusal = 400ms;
constexpr Duration listLag = 3s; ///< A list asked for this long after an answer shows what came of it.

} // namespace

CapacityPlanner::CapacityPlanner(std::map<PoolId, int> sizes, TimePoint mayOrderFrom)
    : m_mayOrderFrom(mayOrderFrom)
    , m_sizes(std::move(sizes))
{
}

void CapacityPlanner::setPools(std::set<PoolId> owned, std::set<PoolId> standby)
{
    m_owned = std::move(owned);
    m_standby = std::move(standby);
}

void CapacityPlanner::setMachines(const std::vector<Machine>& machines, TimePoint askedAt)
{
    m_machines.clear();
    const bool isFirst = m_sizes.empty();
    for (const Machine& machine : machines) {
        m_machines[machine.id] = machine;
        if (isFirst)
            ++m_sizes[machine.pool];
        const auto transfer = m_transfers.find(machine.id);
        if (transfer == m_transfers.end() || !transfer->second.isAnswered || askedAt <= transfer->second.at)
            continue;
        // A standby machine is off: it has no worker.
        const bool isUp
            = machine.state == MachineState::Up && (!machine.worker.isEmpty() || m_standby.contains(machine.pool));
        const bool hasArrived
            = isUp && machine.pool == transfer->second.to && machine.worker != transfer->second.workerBefore;
        const bool wasNotTaken = isUp && askedAt - transfer->second.at >= listLag;
        if (hasArrived || wasNotTaken)
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
        else if (machine.state == MachineState::Up && !m_reserved.contains(id))
            ++here.present;
    }
    for (auto& [id, pool] : m_pools) {
        const auto load = m_loads.find(id);
        if (load == m_loads.end() || pool.machineSize.count() == 0)
            continue;
        const double machineSize = static_cast<double>(pool.machineSize.count()) * fullShare;
        const Millicores present = load->second.used + load->second.waiting;
        const double demand = static_cast<double>(std::max(present, load->second.offered).count());
        pool.wanted = static_cast<int>(std::ceil(demand / machineSize));
        if (pool.wanted >= pool.present)
            m_busyAt[id] = now;
    }
}

int CapacityPlanner::sizeOf(const PoolId& pool) const
{
    const auto found = m_sizes.find(pool);
    return found == m_sizes.end() ? 0 : found->second;
}

int CapacityPlanner::neededBy(const PoolId& pool) const
{
    const auto found = m_pools.find(pool);
    return std::max(sizeOf(pool), found == m_pools.end() ? 0 : found->second.wanted + headroom);
}

bool CapacityPlanner::mayMove(const Machine& machine, const PoolId& to) const
{
    const bool isFree = m_standby.contains(machine.pool) || m_movable.contains(machine.id);
    return isFree && machine.state == MachineState::Up && machine.pool != to && !m_reserved.contains(machine.id)
        && !m_transfers.contains(machine.id) && !m_impossible.contains({ machine.kind, to });
}

bool CapacityPlanner::lends(const PoolId& pool, TimePoint now) const
{
    if (m_standby.contains(pool))
        return true;
    const auto busy = m_busyAt.find(pool);
    const bool isQuiet = busy == m_busyAt.end() || now - busy->second >= quietBeforeLending;
    return m_owned.contains(pool) && isQuiet && m_pools.at(pool).present > neededBy(pool);
}

const Machine* CapacityPlanner::bestSource(const PoolId& to, TimePoint now) const
{
    const Machine* best = nullptr;
    const auto key = [&](const Machine& machine) {
        // Pools that have more than they need first, and of these the one that was full most lately; then standby.
        const bool isStandby = m_standby.contains(machine.pool);
        const auto busy = m_busyAt.find(machine.pool);
        const TimePoint busyAt = busy == m_busyAt.end() ? TimePoint {} : busy->second;
        return std::tuple { isStandby, TimePoint::max() - busyAt, machine.id };
    };
    for (const auto& [id, machine] : m_machines) {
        if (mayMove(machine, to) && lends(machine.pool, now) && (!best || key(machine) < key(*best)))
            best = &machine;
    }
    return best;
}

void CapacityPlanner::begin(const Machine& machine, const PoolId& to, TimePoint now)
{
    m_transfers[machine.id] = { to, machine.worker, false, false, false, now, {} };
    --m_pools[machine.pool].present;
    ++m_pools[to].arriving;
}

bool CapacityPlanner::take(const PoolId& to, TimePoint now)
{
    const Machine* source = bestSource(to, now);
    if (!source)
        return false;
    begin(*source, to, now);
    return true;
}

void CapacityPlanner::growFlooded(TimePoint now)
{
    for (const PoolId& id : m_owned) {
        const auto found = m_pools.find(id);
        if (found == m_pools.end())
            continue;
        Pool& pool = found->second;
        const int mostAtOnce = std::max(smallestTransferBound, sizeOf(id));
        while (pool.wanted > pool.present + pool.arriving && pool.arriving < mostAtOnce) {
            if (!take(id, now))
                break;
        }
    }
}

void CapacityPlanner::giveBack(TimePoint now)
{
    for (const auto& [id, machine] : m_machines) {
        if (!m_owned.contains(machine.pool) || m_pools.at(machine.pool).present <= neededBy(machine.pool))
            continue;
        const auto busy = m_busyAt.find(machine.pool);
        if (busy != m_busyAt.end() && now - busy->second < quietBeforeReturn)
            continue;
        PoolId to;
        for (const auto& [other, size] : m_sizes) {
            const auto found = m_pools.find(other);
            const int have = found == m_pools.end() ? 0 : found->second.present + found->second.arriving;
            const bool isBetter = to.isEmpty() || (m_standby.contains(to) && m_owned.contains(other));
            if (other != machine.pool && have < size && isBetter && mayMove(machine, other))
                to = other;
        }
        if (to.isEmpty())
            continue;
        begin(machine, to, now);
    }
}

void CapacityPlanner::giveUpOld(TimePoint now)
{
    std::erase_if(m_transfers, [&](const auto& each) {
        const Transfer& transfer = each.second;
        if (transfer.isOrderOnItsWay)
            return false;
        const bool isStuck = !transfer.isOrdered && now - transfer.at > emptyingPatience;
        const bool isReserved = !transfer.isOrdered && m_reserved.contains(each.first);
        const bool isLost = transfer.isAnswered && now - transfer.at > arrivalPatience;
        return isStuck || isReserved || isLost;
    });
}

std::vector<MoveCommand> CapacityPlanner::advance(TimePoint now)
{
    std::vector<MoveCommand> orders;
    if (m_machines.empty() || now < m_mayOrderFrom)
        return orders;
    giveUpOld(now);
    countPools(now);
    growFlooded(now);
    giveBack(now);
    for (auto& [id, transfer] : m_transfers) {
        const auto machine = m_machines.find(id);
        const bool isDue = !transfer.isOrderOnItsWay && !transfer.isAnswered && now >= transfer.orderAgainAt;
        if (!isDue || machine == m_machines.end() || orders.size() >= mostOrdersInStep)
            continue;
        const bool isEmpty = m_standby.contains(machine->second.pool) || m_emptied.contains(id);
        if (!isEmpty && !transfer.isOrdered)
            continue;
        transfer.isOrdered = true;
        transfer.isOrderOnItsWay = true;
        orders.push_back({ id, transfer.to });
    }
    return orders;
}

std::set<MachineId> CapacityPlanner::drainingMachines() const
{
    std::set<MachineId> machines;
    for (const auto& [id, transfer] : m_transfers) {
        if (!transfer.isAnswered)
            machines.insert(id);
    }
    return machines;
}

void CapacityPlanner::onResult(const MoveCommand& order, MachineCommandStatus status, TimePoint now)
{
    const auto found = m_transfers.find(order.machine);
    if (found == m_transfers.end())
        return;
    Transfer& transfer = found->second;
    transfer.isOrderOnItsWay = false;
    switch (status) {
    case MachineCommandStatus::Done:
        transfer.isAnswered = true;
        transfer.at = now;
        return;
    case MachineCommandStatus::NoResponse: // Asking again is harmless and tells.
        transfer.orderAgainAt = now + pauseAfterRefusal;
        return;
    case MachineCommandStatus::Impossible:
        if (const auto machine = m_machines.find(order.machine); machine != m_machines.end())
            m_impossible.insert({ machine->second.kind, order.pool });
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
