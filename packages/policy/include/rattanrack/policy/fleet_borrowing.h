#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/fleet_planner.h"

#include <deque>
#include <optional>

namespace rattanrack::policy {

/// What one pool needs and has, in VMs.
struct PoolLoad {
    PoolId pool;
    double needed { 0 }; ///< VMs that its present work would keep busy.
    std::uint32_t serving { 0 };
    std::uint32_t arriving { 0 }; ///< On their way here, or returning to service.
    std::uint32_t reserve { 0 }; ///< VMs that it keeps whatever its work needs.
    std::uint32_t mayGive { 0 }; ///< VMs that limits let it give now.
    std::uint32_t mayTake { 0 }; ///< VMs that limits let it take now.
};

/// One VM is to go from one pool to another.
struct PoolTransfer {
    PoolId from;
    PoolId to;

    friend bool operator==(const PoolTransfer&, const PoolTransfer&) = default;
};

struct BorrowingTimes {
    Duration sustained { std::chrono::seconds { 30 } }; ///< Need that lasts less is left to queues and admission.
    Duration memory { std::chrono::minutes { 10 } }; ///< A pool gives away nothing that it needed this recently.
    Duration expectedStay { std::chrono::minutes { 20 } }; ///< For how long a need is expected to last once sustained.
    Duration moveTime { std::chrono::seconds { 30 } }; ///< For which a moving VM serves nobody.
    Duration movePrice { std::chrono::minutes { 3 } }; ///< Further cost of a move, in time of one VM.
};

/// Decides which pools lend VMs to which. Spare VMs stay where they were last of use until another pool needs them: no
/// move is made only to bring one home. Deterministic; not thread-safe.
///
///     for (const auto& transfer : planner.decide(loads, now))
///         wishes.push_back(*chooseVm(snapshot, transfer));
class BorrowingPlanner {
public:
    explicit BorrowingPlanner(BorrowingTimes times = {})
        : m_times(times)
    {
    }

    /// Transfers that pay for themselves, the largest gain first. `loads` holds each pool once.
    std::vector<PoolTransfer> decide(const std::vector<PoolLoad>& loads, TimePoint now);

private:
    struct Sample {
        double needed { 0 };
        TimePoint at {};
    };
    /// Extremes of a pool's need over sliding windows; each deque is monotonic.
    struct History {
        std::deque<Sample> lows;
        std::deque<Sample> highs;
    };
    struct Standing;

    double sustainedNeed(History&, double needed, TimePoint now) const;
    double recentPeak(History&, double sustained, TimePoint now) const;
    Standing standingOf(const PoolLoad&, TimePoint now);
    double gainOf(const Standing&) const;
    double lossOf(const Standing&) const;

    BorrowingTimes m_times;
    std::map<PoolId, History> m_histories;
};

/// What the rows allow each pool, with `needed` filled in from `needs`.
std::vector<PoolLoad> loadsOf(const FleetSnapshot&, const std::map<PoolId, double>& needs);

/// The VM to move: one that goes home if there is one, otherwise from the failure domain in which the pool has most.
/// The planner still checks budgets and limits.
std::optional<MoveWish> chooseVm(const FleetSnapshot&, const PoolTransfer&);

} // namespace rattanrack::policy
