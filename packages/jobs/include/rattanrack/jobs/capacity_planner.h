#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/jobs/machine.h"
#include "rattanrack/jobs/maintenance_scheduler.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// Lends machines to pools that are flooded, and gives them back. The load pattern it answers: each kind of work in
/// turn asks for more than its pool holds, for a few moves' time. A machine in a flooded pool is worth many times what
/// it costs, so pools grow at the first sign, which is the work that callers hand in; nobody shrinks below its own
/// size, as a pool that waits for its machines to come back loses more than they cost meanwhile. Only machines on which
/// nothing runs move, and only those are emptied for it where all that runs soon ends by itself. Pure: no I/O, no
/// clock. Not thread-safe.
class CapacityPlanner {
public:
    /// `sizes`: machines of each pool as it was set up; empty: as the first list shows them.
    CapacityPlanner(std::map<PoolId, int> sizes, TimePoint mayOrderFrom);

    /// Pools that have an owner, and pools whose machines are off and free of charge.
    void setPools(std::set<PoolId> owned, std::set<PoolId> standby);
    void setMachines(const std::vector<Machine>& machines, TimePoint askedAt);
    void setLoads(const std::vector<CellLoad>& loads, TimePoint now);

    /// Machines of owned pools on which nothing runs that lasts, and those among the closing ones where nothing does.
    void setMovableMachines(std::set<MachineId> machines) { m_movable = std::move(machines); }
    void setDrainedMachines(std::set<MachineId> machines) { m_emptied = std::move(machines); }

    /// Machines that are to be left alone: they are maintained, or about to be.
    void setReservedMachines(std::set<MachineId> machines) { m_reserved = std::move(machines); }

    /// Machines that are to get nothing new, since they are to move.
    std::set<MachineId> drainingMachines() const;

    std::vector<MoveCommand> advance(TimePoint now);
    void onResult(const MoveCommand& order, MachineCommandStatus status, TimePoint now);

    /// Machines of each pool as it was set up; empty before the first list.
    const std::map<PoolId, int>& configuredSizes() const { return m_sizes; }

private:
    /// A machine that is to move, or is on its way.
    struct Transfer {
        PoolId to;
        WorkerId workerBefore;
        bool isOrdered { false };
        bool isOrderOnItsWay { false };
        bool isAnswered { false };
        TimePoint at {}; ///< Of the choice, or of the answer.
        TimePoint orderAgainAt {};
    };
    struct Pool {
        int present { 0 }; ///< Up and staying.
        int arriving { 0 };
        int wanted { 0 };
        Millicores machineSize;
    };

    void countPools(TimePoint now);
    void giveUpOld(TimePoint now);
    void growFlooded(TimePoint now);
    void giveBack(TimePoint now);
    void begin(const Machine& machine, const PoolId& to, TimePoint now);
    bool take(const PoolId& to, TimePoint now);
    const Machine* bestSource(const PoolId& to, TimePoint now) const;
    bool lends(const PoolId& pool, TimePoint now) const;
    bool mayMove(const Machine& machine, const PoolId& to) const;
    int neededBy(const PoolId& pool) const;
    int sizeOf(const PoolId& pool) const;

    TimePoint m_mayOrderFrom;
    std::map<PoolId, int> m_sizes;
    std::set<PoolId> m_owned;
    std::set<PoolId> m_standby;
    std::map<MachineId, Machine> m_machines;
    std::map<PoolId, CellLoad> m_loads;
    std::map<PoolId, TimePoint> m_busyAt; ///< When a pool last needed all that it had.
    std::set<MachineId> m_movable;
    std::set<MachineId> m_emptied;
    std::set<MachineId> m_reserved;
    std::map<MachineId, Transfer> m_transfers;
    std::map<PoolId, Pool> m_pools;
    std::set<std::pair<std::string, PoolId>> m_impossible; ///< Kinds of machines that a pool does not take.
};

} // namespace rattanrack::jobs
