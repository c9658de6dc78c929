#pragma once

#include "rattanrack/policy/fleet_planner.h"

#include <set>

namespace rattanrack::policy {

/// One run of `FleetPlanner::plan`: collects changes so that no two share a row. Edits that concern one pool go into
/// one transaction for that pool; an edit across pools stands alone and needs all its pools untouched.
class FleetRound {
public:
    FleetRound(FleetPlanner&, const FleetSnapshot&, TimePoint now, const PlannerTimes&);

    const FleetSnapshot& snapshot() const { return *m_snapshot; }
    TimePoint now() const { return m_now; }

    /// False when this node is more likely cut off than the workers are lost.
    bool hearsMost() const { return m_hearsMost; }

    /// Plan the change of a VM's row. False when it has to wait for the next round.
    /// `cause` is the roll-out in whose name it is done, if any.
    bool replace(const VmRecord& after, const std::string& reason, const RollOutRecord* cause = nullptr);
    bool remove(const VmRecord&, const std::string& reason);

    void replace(const RollOutRecord&, const std::string& reason);
    void replaceSettings(const PoolId&, const PoolSettings&);
    void replaceBudget(std::uint32_t total, std::uint64_t configVersion);
    void command(const WorkerCommand& order) { m_commands.push_back(order); }

    bool touches(const VmId& vm) const { return m_touched.contains(vm); }
    FleetRefusal mayDisrupt(const VmRecord&) const;
    FleetRefusal mayMove(const VmRecord&, const PoolId& target) const;

    /// The pool as it will stand after what is planned. Null when there is none.
    const PoolRecord* pool(const PoolId&) const;

    // Rows and reports of the snapshot. Null when there is none.
    const RollOutRecord* rollOut(const RollOutId&) const;
    const WorkerObservation* observation(const VmId&) const;
    const ListedVm* listing(const VmId&) const;

    /// All steps planned. The round is empty afterwards.
    FleetSteps finish();

private:
    struct Batch {
        FleetEdit edit;
        std::string reason;
    };

    Batch* batchFor(const PoolId&);
    bool knowsAll(const std::set<PoolId>&) const;
    bool claim(const std::set<PoolId>&, bool touchesBorrowing);
    void push(FleetEdit&, const std::string& reason);

    FleetPlanner* m_planner;
    const FleetSnapshot* m_snapshot;
    TimePoint m_now;
    bool m_hearsMost { false };
    std::map<PoolId, PoolTally> m_tallies;
    std::map<PoolId, Batch> m_batches;
    std::set<PoolId> m_closed; ///< Pools that a change across pools touches.
    std::set<VmId> m_touched;
    bool m_hasTouchedBorrowing { false };
    FleetSteps m_changes;
    std::vector<WorkerCommand> m_commands;
};

} // namespace rattanrack::policy
