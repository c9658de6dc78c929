#pragma once

#include "rattanrack/policy/fleet_budget.h"

namespace rattanrack::policy {

struct PlannerTimes {
    Duration silentAfter { std::chrono::seconds { 2 } }; ///< Unheard this long, a worker counts as lost for budgets.
    Duration failedAfter { std::chrono::seconds { 6 } }; ///< Unheard this long, its row becomes Failed.
    Duration rebootTimeout { std::chrono::minutes { 5 } }; ///< A reboot or replacement that takes longer has failed.
    Duration drainPatience { std::chrono::minutes { 10 } }; ///< Drains longer than this ask for checkpoints.
    Duration usageLag { std::chrono::seconds { 3 } }; ///< Reports of running work are at most this late.
    Duration commandInterval { std::chrono::seconds { 1 } }; ///< Between repeats of a command to one worker.
};

/// A move that demand asks for; carried out when budgets allow.
struct MoveWish {
    VmId vm;
    PoolId target;

    friend bool operator==(const MoveWish&, const MoveWish&) = default;
};

class FleetRound;

/// Turns a snapshot into the next steps of all VMs and roll-outs. Several planners may work on one table at once: what
/// they must agree on is in the rows' versions. Its own memory holds only times and pacing; a new planner starts empty.
/// Not thread-safe.
///
///     for (const auto& step : planner.plan(snapshot, clock.now()))
///         std::visit(executor, step);
class FleetPlanner {
public:
    explicit FleetPlanner(NodeId self, PlannerTimes times = {});

    /// The steps that follow from `snapshot` at `now`, most pressing first. Changes of one plan share no row.
    FleetSteps plan(const FleetSnapshot&, TimePoint now, const std::vector<MoveWish>& wishes = {});

    /// An attempt id that no other planner or earlier plan uses.
    AttemptId nextAttempt();

private:
    struct Memory {
        RecordVersion version { 0 };
        TimePoint firstSeen {}; ///< When this version of the row was first planned with.
        Deadline nextCommand;
        TimePoint drainingSince { TimePoint::max() }; ///< When the worker first confirmed that it takes no new work.
        bool hasAskedForCheckpoint { false };
    };
    using Follow = void (FleetPlanner::*)(FleetRound&, const VmRecord&);

    void remember(const FleetSnapshot&, TimePoint now);
    void adoptListed(FleetRound&);

    static Follow followerOf(VmPhase);
    void followVm(FleetRound&, const VmRecord&);
    void followServing(FleetRound&, const VmRecord&);
    void followDraining(FleetRound&, const VmRecord&);
    void followEmpty(FleetRound&, const VmRecord&);
    void followRebooting(FleetRound&, const VmRecord&);
    void followReplacing(FleetRound&, const VmRecord&);
    void followReturning(FleetRound&, const VmRecord&);
    void followFailed(FleetRound&, const VmRecord&);
    void followLeaving(FleetRound&, const VmRecord&);

    bool isLost(const FleetRound&, const VmRecord&, Duration patience) const;
    bool isGone(const FleetRound&, const VmRecord&) const;
    const WorkerObservation* freshObservation(const FleetRound&, const VmRecord&) const;
    void command(FleetRound&, const VmRecord&, WorkerAction, std::uint64_t bootId);

    NodeId m_self;
    PlannerTimes m_times;
    std::uint64_t m_attempts { 0 };
    std::map<VmId, Memory> m_memory;
};

} // namespace rattanrack::policy
