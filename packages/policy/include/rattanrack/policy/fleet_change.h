#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/fleet_snapshot.h"

#include <string>
#include <variant>
#include <vector>

namespace rattanrack::policy {

/// Rows to store or remove in one transaction, each under the condition that it still has its record's `version`
/// (0: that it is absent). A change that is late, repeated or made from an old snapshot fails its conditions.
///
///     for (const auto& vm : change.vms) { addCondition(vmKey(vm.id), vm.version); addWrite(encode(vm)); }
struct FleetChange {
    AttemptId attempt; ///< Stands in every row written.
    std::string reason; ///< For logs and `explain`.
    std::vector<VmRecord> vms;
    std::vector<VmRecord> removedVms;
    std::vector<PoolRecord> pools;
    std::vector<RollOutRecord> rollOuts;
    std::vector<BorrowingRecord> borrowing; ///< At most one.
    std::vector<RollOutRecord> required; ///< Not written, but must still have their versions.

    bool isEmpty() const
    {
        return vms.empty() && removedVms.empty() && pools.empty() && rollOuts.empty() && borrowing.empty();
    }
    friend bool operator==(const FleetChange&, const FleetChange&) = default;
};

enum class WorkerAction : std::uint8_t {
    StopTakingWork, ///< setDraining(true, epoch)
    TakeWork, ///< setDraining(false, epoch)
    Reboot, ///< Only when draining under this epoch and empty.
    Checkpoint, ///< Asks running tasks to checkpoint and end.
    Replace, ///< Asks the platform for another VM in its place.
};
std::string_view name(WorkerAction);

/// An order to one worker. The worker refuses it when its own epoch is higher or its boot is another one; therefore it
/// may be repeated, late or lost.
struct WorkerCommand {
    VmId vm;
    WorkerAction action { WorkerAction::StopTakingWork };
    std::uint64_t epoch { 0 };
    std::uint64_t bootId { 0 };

    friend bool operator==(const WorkerCommand&, const WorkerCommand&) = default;
};

using FleetStep = std::variant<FleetChange, WorkerCommand>;
using FleetSteps = std::vector<FleetStep>;

/// What became of a change whose answer was lost.
enum class ChangeFate : std::uint8_t {
    Applied, ///< A row carries the attempt.
    Open, ///< All rows are as before: it may still take effect.
    Overtaken, ///< Another writer changed a row: it can take effect no more, and may have done so before.
};

/// Settles a change from a snapshot read after the answer was lost.
ChangeFate settle(const FleetChange&, const FleetSnapshot& readBack);

/// Builds one change and keeps the counts of pools and budget in step with the VMs' rows.
///
///     FleetEdit edit { snapshot };
///     edit.replace(vm, drained);
///     FleetChange change = edit.finish(attempt, "drain");
class FleetEdit {
public:
    explicit FleetEdit(const FleetSnapshot& snapshot)
        : m_snapshot(&snapshot)
    {
    }

    /// Replaces the row of `after.id`, or inserts it when the snapshot has none. The pools must exist.
    void replace(const VmRecord& after);
    void remove(const VmRecord& vm);
    void replace(const RollOutRecord& rollOut) { m_change.rollOuts.push_back(rollOut); }
    void replace(const PoolRecord& pool) { m_pools[pool.id] = pool; }
    void replace(const BorrowingRecord& borrowing);

    /// Makes the change depend on the roll-out's row being as it was read.
    void require(const RollOutRecord&);

    /// The pool as it will stand after the edits so far. Null when it does not exist.
    const PoolRecord* pool(const PoolId&) const;
    const BorrowingRecord& borrowing() const;

    /// True when `vm` was replaced or removed by this edit.
    bool touches(const VmId& vm) const;
    const std::vector<VmRecord>& vms() const { return m_change.vms; }
    std::size_t vmCount() const { return m_change.vms.size() + m_change.removedVms.size(); }

    /// The change, with `attempt` in every row. The edit is empty afterwards.
    FleetChange finish(const AttemptId& attempt, std::string reason);

private:
    PoolRecord* editablePool(const PoolId&);
    void count(const VmRecord&, int sign);
    void countAway(const VmRecord&, int sign);

    const FleetSnapshot* m_snapshot;
    FleetChange m_change;
    std::map<PoolId, PoolRecord> m_pools;
};

} // namespace rattanrack::policy
