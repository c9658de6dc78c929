#pragma once

#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <string>

/// Machines, on which workers live one after the other, and what may be ordered of them.
namespace rattanrack::jobs {

enum class MachineState : std::uint8_t { Up, Moving, Maintenance, Down };

/// A machine as the platform lists it; the list lags.
struct Machine {
    MachineId id;
    PoolId pool;
    MachineState state { MachineState::Down };
    std::string kind; ///< Pools take machines of some kinds only.
    std::string rack;
    ResourceSize capacity;
    WorkerId worker; ///< Of its present life; empty while there is none.

    friend bool operator==(const Machine&, const Machine&) = default;
};

/// Takes a machine down for the maintenance of a wave. Ends all that runs there.
struct MaintenanceCommand {
    MachineId machine;
    std::int64_t wave { 0 };
};

/// Puts a machine into another pool. Ends all that runs there.
struct MoveCommand {
    MachineId machine;
    PoolId pool;
};

enum class MachineCommandStatus : std::uint8_t {
    Done, ///< Or done before.
    Busy, ///< The machine is not up, or is leaving; nothing was done.
    NotInWave,
    StaleFence,
    Impossible, ///< No such machine, or a pool of other machines.
    Unavailable, ///< Too many calls, or out of reach; nothing was done.
    NoResponse, ///< May have been done.
};

} // namespace rattanrack::jobs
