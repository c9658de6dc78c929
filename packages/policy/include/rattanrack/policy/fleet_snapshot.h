#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/fleet_records.h"

#include <map>
#include <string>

namespace rattanrack::policy {

/// What a worker last said about itself, as one node heard it. A worker that has just booted is draining, with epoch 0,
/// until it is told otherwise.
struct WorkerObservation {
    std::uint64_t bootId { 0 }; ///< Chosen anew by each boot of the worker.
    std::uint64_t epoch { 0 }; ///< Highest epoch that the worker has been told since it booted.
    bool isDraining { true };
    std::uint32_t busySlots { 0 }; ///< As of some seconds before; the other fields are of the moment of the report.
    TimePoint heardAt {};

    friend bool operator==(const WorkerObservation&, const WorkerObservation&) = default;
};

/// A VM as the platform's lagging list has it.
struct ListedVm {
    VmId id;
    RackId rack;
    DataCenterId dataCenter;
    bool isLeaving { false };

    friend bool operator==(const ListedVm&, const ListedVm&) = default;
};

/// All that the fleet's decisions depend on. Rows may have been read one after the other: the planner notices when the
/// rows of one pool do not belong together and leaves that pool for the next snapshot.
struct FleetSnapshot {
    std::map<VmId, VmRecord> vms;
    std::map<PoolId, PoolRecord> pools;
    std::map<RollOutId, RollOutRecord> rollOuts;
    BorrowingRecord borrowing;

    std::map<VmId, WorkerObservation> observations; ///< Absent: never heard by this node.
    std::map<VmId, ListedVm> listed;
    bool hasList { false }; ///< False while this node has never read the list.

    std::map<PoolId, PoolSettings> settings; ///< From the configuration in force.
    PoolId sparePool; ///< Where VMs go that no pool lacks.
    std::uint32_t sharedBudget { 0 }; ///< Total for `borrowing`, from the configuration in force.
    std::uint64_t configVersion { 0 };
};

/// Whether nodes may send new work to the VM: its row says Serving and the platform does not take it away.
bool takesWork(const FleetSnapshot&, const VmRecord&);

/// Counts of one pool taken from its VMs' rows.
struct PoolTally {
    PoolCounts counts;
    std::map<std::string, std::uint32_t> servingByRack; ///< Keyed by data centre and rack.
    std::map<std::string, std::uint32_t> servingByDataCenter;
    std::uint32_t silent { 0 }; ///< Serving by its row, and not heard by this node of late.
};

/// Whether this node has heard the VM's worker within `patience`.
bool isHeard(const FleetSnapshot&, const VmId&, TimePoint now, Duration patience);

/// Tallies of all pools. A VM counts where its row says; `patience` decides which workers are silent.
std::map<PoolId, PoolTally> tallyPools(const FleetSnapshot&, TimePoint now, Duration patience);

} // namespace rattanrack::policy
