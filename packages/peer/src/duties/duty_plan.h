#pragma once

#include "rattanrack/peer/duties.h"

#include <map>
#include <string>
#include <vector>

namespace rattanrack::peer {

/// A change of holders, to be committed as one transaction.
struct DutyPlan {
    struct Assignment {
        DutyName name;
        platform::RowVersion expectedRowVersion { 0 };
        NodeId newHolder;
    };
    std::vector<Assignment> assignments;
    /// The holder that is replaced: its node row must not have changed, and gets fenced. Empty when there is none.
    NodeId deadHolder;
    platform::RowVersion deadHolderRowVersion { 0 };
    NodeRow fencedRow; ///< Written unless the node row is absent or already fenced.
    bool mustFence { false };

    bool isEmpty() const { return assignments.empty(); }

    /// The transaction that executes the plan; the duty rows contain `attempt`.
    platform::Transaction transaction(const std::string& attempt) const;
};

/// A node's row as read back after a conflict. It counts while it is newer than the row known to Membership.
struct KnownNodeRow {
    platform::RowVersion version { 0 };
    bool isFenced { false };
    Deadline expiresAt; ///< By then Membership has read the row itself.
};

/// A duty that this node holds.
struct HeldDuty {
    platform::RowVersion term { 0 };
    TimePoint since;
};

/// Input of the planning functions.
struct DutyPlanInput {
    const NodeId& self;
    const std::vector<DutyName>& names;
    const std::map<DutyName, DutyRow>& rows;
    const std::map<DutyName, HeldDuty>& held;
    const std::map<NodeId, KnownNodeRow>& nodeRows;
    const LivenessView& liveness;
    TimePoint now;
};

/// Assigns the duties of this node, which is leaving, to the preferred ones among the other live nodes.
DutyPlan planLeave(const DutyPlanInput& input);

/// Assigns a few duties of this node to preferred members that have been live for `stabilizationTime`. A duty that this
/// node has held for a shorter time stays, as the preferred member may have handed it over because it is leaving.
DutyPlan planRebalance(const DutyPlanInput& input);

/// Plans takeovers of duties that no node holds or whose holder is dead. Records since when each duty has been vacant.
class TakeoverPlanner {
public:
    DutyPlan plan(const DutyPlanInput& input);

    /// Discards the recorded times, which do not count after a pause of this process or an outage of the table.
    void reset() { m_vacantSince.clear(); }

private:
    bool isDue(const DutyName& name, const DutyPlanInput& input, const std::vector<NodeId>& candidates);

    std::map<DutyName, TimePoint> m_vacantSince;
};

} // namespace rattanrack::peer
