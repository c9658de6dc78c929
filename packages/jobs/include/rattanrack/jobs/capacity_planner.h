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

/// Decides which machines to lend to overloaded pools and when to return them. It is designed for this load pattern:
/// each kind of work in turn demands more than its pool's capacity, for about as long as a few machine moves take. A
/// machine in an overloaded pool is worth many times what it costs, so a pool grows at the first sign of overload,
/// which is the load of the jobs that callers submit. No pool shrinks below its configured size, because a pool that
/// waits for its machines to return loses more than they cost meanwhile. Only machines on which nothing runs are moved,
/// and a machine is drained for a move only if everything that runs on it ends by itself soon. Performs no I/O and
/// reads no clock. Not thread-safe.
class CapacityPlanner {
public:
    /// `sizes`: configured number of machines of each pool; if empty, taken from the first machine list. No command is
    /// returned before `commandsAllowedFrom`.
    CapacityPlanner(std::map<PoolId, int> sizes, TimePoint commandsAllowedFrom);

    /// Sets the pools that have an owner, and the standby pools, whose machines are off and cost nothing.
    void setPools(std::set<PoolId> owned, std::set<PoolId> standby);
    void setMachines(const std::vector<Machine>& machines, TimePoint requestedAt);
    void setLoads(const std::vector<CellLoad>& loads, TimePoint now);

    /// Machines of owned pools on which nothing long-running runs.
    void setMovableMachines(std::set<MachineId> machines) { m_movableMachines = std::move(machines); }

    /// Draining machines on which nothing runs.
    void setDrainedMachines(DrainedMachines machines) { m_drainedMachines = std::move(machines); }

    /// Machines that must not be moved, since they are in maintenance or about to be.
    void setReservedMachines(std::set<MachineId> machines) { m_reservedMachines = std::move(machines); }

    /// Machines that must get no new work, since they are about to be moved.
    std::set<MachineId> drainingMachines() const;

    /// Machines that are about to be moved, or that have been moved and are not listed in their new pool yet.
    std::set<MachineId> machinesInTransfer() const;

    std::vector<MoveCommand> advance(TimePoint now);
    void onResult(const MoveCommand& command, MachineCommandStatus status, TimePoint now);

    /// Configured number of machines of each pool; empty before the first machine list.
    const std::map<PoolId, int>& configuredSizes() const { return m_configuredSizes; }

private:
    /// A machine that is about to be moved, or is being moved.
    struct Transfer {
        PoolId to;
        WorkerId workerBefore;
        bool wasCommandSent { false };
        bool isCommandInFlight { false };
        bool hasSucceeded { false };
        /// When the machine was chosen; once the command has succeeded, when its result arrived.
        TimePoint updatedAt {};
        TimePoint retryAt {};
    };
    struct Pool {
        int present { 0 }; ///< Up, and not about to be moved.
        int arriving { 0 };
        int wanted { 0 };
        Millicores machineSize;
    };

    void countPools(TimePoint now);
    void dropStaleTransfers(TimePoint now);
    void growOverloadedPools(TimePoint now);
    void returnSurplusMachines(TimePoint now);
    void beginTransfer(const Machine& machine, const PoolId& to, TimePoint now);
    bool borrowMachine(const PoolId& to, TimePoint now);
    const Machine* bestSource(const PoolId& to, TimePoint now) const;
    bool canLend(const PoolId& pool, TimePoint now) const;
    bool canMove(const Machine& machine, const PoolId& to) const;
    int requiredMachines(const PoolId& pool) const;
    int configuredSize(const PoolId& pool) const;

    TimePoint m_commandsAllowedFrom;
    std::map<PoolId, int> m_configuredSizes;
    std::set<PoolId> m_ownedPools;
    std::set<PoolId> m_standbyPools;
    std::map<MachineId, Machine> m_machines;
    std::map<PoolId, CellLoad> m_loads;
    std::map<PoolId, TimePoint> m_lastFullAt; ///< When a pool last needed all of its machines.
    std::set<MachineId> m_movableMachines;
    DrainedMachines m_drainedMachines;
    std::set<MachineId> m_reservedMachines;
    std::map<MachineId, Transfer> m_transfers;
    std::map<PoolId, Pool> m_pools;
    /// Kinds of machines and the pools that do not accept them.
    std::set<std::pair<std::string, PoolId>> m_rejectedMoves;
};

} // namespace rattanrack::jobs
