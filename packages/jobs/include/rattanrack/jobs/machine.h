#pragma once

#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

/// Machines, each of which runs one worker after another, and the commands for them.
namespace rattanrack::jobs {

enum class MachineState : std::uint8_t { Up, Moving, Maintenance, Down };

/// A machine as the platform lists it; the list lags behind the machine's state.
struct Machine {
    MachineId id;
    PoolId pool;
    MachineState state { MachineState::Down };
    std::string kind; ///< A pool accepts machines of some kinds only.
    std::string rack;
    ResourceSize capacity;
    WorkerId worker; ///< The present worker; empty while there is none.

    friend bool operator==(const Machine&, const Machine&) = default;
};

/// Machines on which nothing runs any more, each with the worker that was drained. Once the machine has another worker,
/// after a move or a restart, this says nothing about it.
using DrainedMachines = std::set<std::pair<MachineId, WorkerId>>;

/// Whether the present worker of the machine, as listed, is the one that was drained.
inline bool isDrained(const DrainedMachines& drained, const Machine& machine)
{
    return !machine.worker.isEmpty() && drained.contains({ machine.id, machine.worker });
}

/// Takes a machine down for the maintenance of a wave. Ends everything that runs on the machine.
struct MaintenanceCommand {
    MachineId machine;
    std::int64_t wave { 0 };
};

/// Moves a machine to another pool. Ends everything that runs on the machine.
struct MoveCommand {
    MachineId machine;
    PoolId pool;
};

enum class MachineCommandStatus : std::uint8_t {
    Done, ///< Done by this command or an earlier one.
    Busy, ///< The machine is not up, or is leaving; nothing was done.
    NotInWave,
    StaleFence,
    Impossible, ///< There is no such machine, or the pool does not accept it.
    Unavailable, ///< Rate limited or unreachable; nothing was done.
    NoResponse, ///< May have been done.
};

} // namespace rattanrack::jobs
