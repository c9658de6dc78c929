#pragma once

#include "rattanrack/policy/fleet_budget.h"

#include <array>
#include <variant>

/// What operators ask for. Each function answers with the change that carries it out, or with the reason why not.
/// Disruptions become roll-outs, which the planner works off within the pools' budgets.
namespace rattanrack::policy {

struct CommandRefused {
    FleetRefusal reason { FleetRefusal::None };
    std::string subject; ///< The VM, pool or roll-out that stands in the way.

    friend bool operator==(const CommandRefused&, const CommandRefused&) = default;
};

/// Either the change to commit or why there is none.
using CommandAnswer = std::variant<FleetChange, CommandRefused>;

struct StartRollOut {
    RollOutId id; ///< Chosen by the caller; a repeat of the same request is refused as AlreadyExists.
    RollOutKind kind { RollOutKind::Reboot };
    std::vector<VmId> targets;
    PoolId targetPool; ///< For Move.
    std::uint32_t maxAtOnce { 0 };
    OperatorId startedBy;
};

/// Reboot, replace, drain or move VMs. Refused when a target can never be disrupted under its pool's settings.
CommandAnswer startRollOut(const FleetSnapshot&, const StartRollOut&, const AttemptId&);

/// No further VM is started; those under way go on to their end.
CommandAnswer pauseRollOut(const FleetSnapshot&, const RollOutId&, const AttemptId&);
CommandAnswer resumeRollOut(const FleetSnapshot&, const RollOutId&, const AttemptId&);

/// No further VM is started; drained and draining ones go back to serving. Ends a drain.
CommandAnswer abortRollOut(const FleetSnapshot&, const RollOutId&, const AttemptId&);

/// VMs of a rack, or of a whole data centre when `rack` is empty, in the order of their ids.
std::vector<VmId> vmsIn(const FleetSnapshot&, const DataCenterId&, const RackId& rack);

/// Why the planner does not start `vm` now; None when it would.
FleetRefusal explain(const FleetSnapshot&, const VmId& vm, TimePoint now);

} // namespace rattanrack::policy
