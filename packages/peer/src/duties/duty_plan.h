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
    NodeId deadHolder; ///< Whose node row must be as seen, and is fenced; empty when no holder is replaced.
    platform::RowVersion deadHolderRowVersion { 0 };
    NodeRow fencedRow; ///< To write unless the row is absent or fenced already.
    bool mustFence { false };

    bool isEmpty() const { return assignments.empty(); }

    /// The transaction that carries the plan out; rows carry `attempt`.
    platform::Transaction transaction(const std::string& attempt) const;
};

/// A node's row as read back after a conflict, when it is newer than membership's.
struct KnownNodeRow {
    platform::RowVersion version { 0 };
    bool isFenced { false };
    Deadline expiresAt; ///< By then membership has read the row itself.
};

/// A duty that this node holds.
struct HeldDuty {
    platform::RowVersion term { 0 };
    TimePoint since;
};

/// What a plan is made from.
struct DutyPlanInput {
    const NodeId& self;
    const std::vector<DutyName>& names;
    const std::map<DutyName, DutyRow>& rows;
    const std::map<DutyName, HeldDuty>& held;
    const std::map<NodeId, KnownNodeRow>& nodeRows;
    const LivenessView& liveness;
    TimePoint now;
};

/// Hands all duties of this node, which is leaving, to the preferred others.
DutyPlan planLeave(const DutyPlanInput& input);

/// Hands a few duties to members that are preferred and have been live for a while. A duty that came a short time ago
/// stays: the preferred member may have given it away because it is leaving.
DutyPlan planRebalance(const DutyPlanInput& input);

/// Takes over duties that nobody holds, or whose holder is dead. Remembers since when each has been seen so.
class TakeoverPlanner {
public:
    DutyPlan plan(const DutyPlanInput& input);

    /// After a pause or an outage nothing that was seen before counts.
    void reset() { m_vacantSince.clear(); }

private:
    bool isDue(const DutyName& name, const DutyPlanInput& input, const std::vector<NodeId>& candidates);

    std::map<DutyName, TimePoint> m_vacantSince;
};

} // namespace rattanrack::peer
