#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

/// The values that enter and leave the traffic core: events in, decisions out. No I/O, no threads, no wall clock.
namespace rattanrack::policy {

/// How soon work must start. Lower values go first inside a pool.
enum class Urgency : std::uint8_t { Urgent, Normal, Background };

/// Why a request did not run.
enum class NotRunReason : std::uint8_t {
    QueueFull, ///< The pool's bound on queued requests or bytes is reached.
    QuotaExceeded, ///< The team's share is used up and nobody leaves any.
    DeadlineTooSoon, ///< The deadline can't be met at the present rate.
    DeadlinePassed, ///< It waited until its deadline.
    NeverFits, ///< No worker of the pool can ever run it.
    UnknownKind, ///< No pool does this kind of work.
    NoWorkers, ///< The pool has no worker that takes work.
    Cancelled, ///< Cancelled before it started.
    StoreUnavailable, ///< At-most-once could not be recorded.
    ShuttingDown, ///< The node is leaving.
    RetriesExhausted, ///< Every attempt was refused by its worker.
};
std::string_view name(NotRunReason);

/// A request as admission sees it.
struct RequestSpec {
    RequestId id;
    PoolId pool;
    WorkKind kind;
    TeamId team;
    Urgency urgency { Urgency::Normal };
    Deadline deadline;
    ResourceSize declaredSize;
    Duration declaredRunTime {};
    std::uint32_t bytes { 0 }; ///< Size of the payload.
    bool isRepeatable { true };
};

/// How an attempt on a worker ended.
enum class AttemptEnd : std::uint8_t {
    Completed,
    Failed, ///< Ran and failed by itself.
    Refused, ///< Proven not started.
    Lost, ///< May have run.
    Stopped, ///< Ended by us.
};

// ---- Events ----

struct Submit {
    RequestSpec request;
};
struct Cancel {
    RequestId request;
};
struct AttemptEnded {
    RequestId request;
    VmId worker;
    AttemptEnd end { AttemptEnd::Lost };
};

/// One worker of a pool as the node's current view has it.
struct WorkerView {
    VmId id;
    PoolId pool;
    std::uint64_t poolEpoch { 0 };
    RackId rack;
    DataCenterId dataCenter;
    ResourceSize capacity;
    Slots slots;
    bool takesWork { true }; ///< False while draining, leaving or moving.

    friend bool operator==(const WorkerView&, const WorkerView&) = default;
};

/// One kind of work as the configuration in force has it.
struct KindPolicy {
    WorkKind kind;
    PoolId pool;
    double weight { 1 }; ///< Share in the pool, and weight of one answered request.
    double floorShare { 0 }; ///< Part of the pool's slots that it can always reach, 0 to 1.
};
struct TeamPolicy {
    TeamId team;
    double share { 1 }; ///< Relative share of each pool; unused shares are lent to others.
};
struct PoolPolicy {
    PoolId pool;
    std::uint32_t maxQueued { 1000 }; ///< Requests that one node queues.
    std::uint64_t maxQueuedBytes { 16U << 20U };
    double maxEjectedShare { 0.3 }; ///< Part of the pool's workers that may be ejected as sick.
    double retryBudget { 0.1 }; ///< Retries over first attempts.
};

/// Replaces what the core knows of workers and policies. Running attempts go on.
struct ViewChanged {
    std::vector<WorkerView> workers;
    std::vector<KindPolicy> kinds;
    std::vector<TeamPolicy> teams;
    std::vector<PoolPolicy> pools;
};

/// Nodes that share the pools, this one included. Used to split standing credits.
struct PeersChanged {
    NodeId self;
    std::vector<NodeId> live;
};

/// The home of a pool's credits changed; empty when nobody holds the seat.
struct HomeChanged {
    PoolId pool;
    NodeId home;
    std::uint64_t term { 0 }; ///< Version of the home's seat.
};

/// A credit is the right to use one slot of one worker.
struct Credit {
    VmId worker;
    std::uint32_t count { 0 };

    friend bool operator==(const Credit&, const Credit&) = default;
};

/// A holder's need, sent to the home in place of one message for each request.
struct CreditAsk {
    PoolId pool;
    NodeId from;
    std::uint32_t urgentWaiting { 0 };
    std::uint32_t normalWaiting { 0 };
    std::uint32_t backgroundWaiting { 0 };
    Duration oldestWait {}; ///< How long the first in line has waited.
    std::vector<Credit> idle; ///< Credits held and not in use.
    std::vector<Credit> inUse;
    std::uint64_t number { 0 }; ///< Rises with each ask of one holder; the home ignores older ones.
    std::uint64_t lastGrant { 0 }; ///< Number of the last grant that this report includes.
    ResourceSize firstSize; ///< What the request needs that waits for want of a worker.
    std::uint32_t firstCredits { 1 }; ///< Credits that it needs on one worker.

    friend bool operator==(const CreditAsk&, const CreditAsk&) = default;
};

/// The home's answer or a recall: the holder owns exactly `granted` more and gives back `recalled`, in use or
/// not, as soon as it is idle.
struct CreditGrant {
    PoolId pool;
    NodeId to;
    std::uint64_t term { 0 }; ///< Version of the home's seat; lower terms are ignored.
    std::vector<Credit> granted;
    std::vector<Credit> recalled;
    std::uint64_t number { 0 }; ///< Rises with each grant to one holder; the holder ignores older ones.
    std::uint32_t wanted {
        0
    }; ///< Credits that the holder gives back as they come free, unless its own first is ahead.
    Urgency firstUrgency { Urgency::Normal }; ///< Urgency of the first request that waits elsewhere.
    Duration firstWait {}; ///< How long that request has waited.

    friend bool operator==(const CreditGrant&, const CreditGrant&) = default;
};

struct CreditAsked {
    CreditAsk ask;
};
struct CreditGranted {
    CreditGrant grant;
};

/// What a running attempt uses, as its worker reports it, seconds late.
struct UsageReported {
    RequestId request;
    VmId worker;
    ResourceSize used;
};

/// No more requests are taken; queued ones end as ShuttingDown only when they can't run before `lastDispatch`.
struct StopAdmitting {
    Deadline lastDispatch;
};

/// Time has passed; sent at the latest when the core's `nextWake` says so.
struct Tick { };

using TrafficEvent = std::variant<Submit, Cancel, AttemptEnded, ViewChanged, PeersChanged, HomeChanged, CreditAsked,
    CreditGranted, UsageReported, StopAdmitting, Tick>;

// ---- Decisions ----

/// Send the request to the worker now.
struct Dispatch {
    RequestId request;
    VmId worker;
    std::uint64_t poolEpoch { 0 };
    std::uint32_t attemptNumber { 1 };
};

/// The request did not run and will not; tell the caller.
struct RejectRequest {
    RequestId request;
    NotRunReason reason { NotRunReason::QueueFull };
    Duration retryAfter {}; ///< Advice: ask again after this time. Zero: asking again is useless.
};

/// The last attempt's end is the request's answer; no retry follows.
struct ConcludeRequest {
    RequestId request;
    AttemptEnd end { AttemptEnd::Lost };
};

/// Tell the worker to stop the running attempt of a request.
struct StopAttempt {
    RequestId request;
    VmId worker;
};

/// What to do to an attempt that uses more than it declared.
enum class Restraint : std::uint8_t { Throttle, Checkpoint };

/// Tell the worker to throttle the running attempt of a request, or to checkpoint it.
struct RestrainAttempt {
    RequestId request;
    VmId worker;
    Restraint restraint { Restraint::Throttle };
};

struct SendAsk {
    NodeId home;
    CreditAsk ask;
};
struct SendGrant {
    CreditGrant grant;
};

using TrafficDecision
    = std::variant<Dispatch, RejectRequest, ConcludeRequest, StopAttempt, RestrainAttempt, SendAsk, SendGrant>;
using TrafficDecisions = std::vector<TrafficDecision>;

/// Decides what runs where and when, for one node. Deterministic: the same events at the same times give the same
/// decisions. Not thread-safe; one control thread owns it.
///
///     for (const auto& decision : core->handle(Submit { request }, now))
///         std::visit(executor, decision);
class TrafficPolicy {
public:
    virtual ~TrafficPolicy() = default;

    /// Decisions that `event` leads to at `now`, in the order in which to carry them out. `now` never goes back.
    virtual TrafficDecisions handle(const TrafficEvent& event, TimePoint now) = 0;

    /// When to send the next Tick at the latest; `Deadline::never()` when nothing waits for time.
    virtual Deadline nextWake() const = 0;
};

} // namespace rattanrack::policy
