#pragma once

#include "rattanrack/base/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

/// The rows of the table that say who owns each VM, what each pool may lose, and what maintenance is under way. Every
/// record carries the version of the row that it was read from; 0 means that the row is to be inserted.
namespace rattanrack::policy {

using RecordVersion = std::uint64_t;

/// Where a VM is in its life. Only a Serving VM receives work.
enum class VmPhase : std::uint8_t {
    Serving, ///< Takes work for its pool.
    Draining, ///< Takes no new work; running work goes on to its end.
    Empty, ///< Drained and held so until its operation is aborted.
    Rebooting, ///< Was empty; the worker is restarted.
    Replacing, ///< Was empty; the platform takes it away and brings another.
    Returning, ///< About to serve: the worker has yet to confirm the row's epoch.
    Failed, ///< Not heard, or restarted by itself.
    Leaving, ///< The platform takes it away; it never serves again.
};

/// What follows once the VM is empty.
enum class DrainPurpose : std::uint8_t { None, Reboot, Replace, Hold, Move };

/// One VM. `epoch` grows with each change between serving and not serving, and with each change of pool, so that one
/// epoch always means one direction and one pool.
struct VmRecord {
    VmId id;
    PoolId pool; ///< The one pool that the VM belongs to.
    PoolId homePool; ///< The pool that owns it when nothing is borrowed.
    PoolId targetPool; ///< Destination of a move under way; empty otherwise.
    RackId rack;
    DataCenterId dataCenter;
    std::uint64_t epoch { 0 };
    VmPhase phase { VmPhase::Returning };
    DrainPurpose purpose { DrainPurpose::None };
    bool holdsPermit { false }; ///< One of its pool's disruption permits is spent on it.
    RollOutId operation; ///< The roll-out that disrupts it; empty when none does.
    std::vector<RollOutId> completed; ///< Roll-outs that are done with this VM, at most `maxCompletedKept`.
    std::uint64_t bootId { 0 }; ///< Boot of the worker that was last confirmed, or is to be ended by a reboot.
    std::uint64_t revision { 0 }; ///< Grows with each change that its pool's row also records.
    AttemptId attempt; ///< The writer's attempt.
    RecordVersion version { 0 };

    friend bool operator==(const VmRecord&, const VmRecord&) = default;
};

inline constexpr std::size_t maxCompletedKept = 16;

/// Which failure domain a pool's floor must survive the loss of.
enum class FailureDomain : std::uint8_t { None, Rack, DataCenter };

/// What the configuration says about a pool.
struct PoolSettings {
    std::uint32_t desired { 0 }; ///< VMs that the pool has when nothing is borrowed.
    std::uint32_t floor { 0 }; ///< VMs that planned work must leave serving.
    std::uint32_t maxPlannedDown { 1 }; ///< Permits; failures count against them.
    std::uint32_t mayBorrow { 0 }; ///< VMs that it may take from others.
    std::uint32_t mayLend { 0 }; ///< VMs that it may give to others.
    FailureDomain survives { FailureDomain::None };
    std::uint64_t configVersion { 0 };

    friend bool operator==(const PoolSettings&, const PoolSettings&) = default;
};

/// Counts over a pool's VMs. `serving()` is what the pool has now.
struct PoolCounts {
    std::uint32_t members { 0 };
    std::uint32_t permits { 0 }; ///< Members that hold a permit.
    std::uint32_t failed { 0 }; ///< Members without permit that are Failed or Leaving.
    std::uint32_t joining { 0 }; ///< Members without permit that are Returning.
    std::uint32_t borrowed { 0 }; ///< VMs of other home pools that are here or on their way here.
    std::uint32_t lent { 0 }; ///< VMs with this home pool that are elsewhere or on their way there.
    std::uint64_t revisions { 0 }; ///< Sum of the members' revisions; tells a torn snapshot from a whole one.

    std::uint32_t serving() const { return members - permits - failed - joining; }
    friend bool operator==(const PoolCounts&, const PoolCounts&) = default;
};

struct PoolRecord {
    PoolId id;
    PoolSettings settings;
    PoolCounts counts;
    AttemptId attempt;
    RecordVersion version { 0 };

    friend bool operator==(const PoolRecord&, const PoolRecord&) = default;
};

/// The budget from which all pools borrow.
struct BorrowingRecord {
    std::uint32_t total { 0 }; ///< VMs that may be away from their home pools at one time.
    std::uint32_t inUse { 0 };
    std::uint64_t configVersion { 0 };
    AttemptId attempt;
    RecordVersion version { 0 };

    friend bool operator==(const BorrowingRecord&, const BorrowingRecord&) = default;
};

enum class RollOutKind : std::uint8_t { Reboot, Replace, Drain, Move };
enum class RollOutState : std::uint8_t { Running, Paused, Aborted, Finished };

struct RollOutRecord {
    RollOutId id;
    RollOutKind kind { RollOutKind::Reboot };
    RollOutState state { RollOutState::Running };
    std::vector<VmId> targets;
    PoolId targetPool; ///< Destination, for Move.
    std::uint32_t maxAtOnce {
        0
    }; ///< VMs disrupted at one time over all pools; 0 means no bound beside the pools' own.
    std::uint32_t maxFailures { 3 }; ///< Targets that fail under it before it pauses itself.
    std::uint32_t done { 0 }; ///< Targets done, when Finished.
    OperatorId startedBy;
    AttemptId attempt;
    RecordVersion version { 0 };

    friend bool operator==(const RollOutRecord&, const RollOutRecord&) = default;
};

/// Names as they stand in rows and on the command line.
std::string_view name(VmPhase);
std::string_view name(DrainPurpose);
std::string_view name(FailureDomain);
std::string_view name(RollOutKind);
std::string_view name(RollOutState);

} // namespace rattanrack::policy
