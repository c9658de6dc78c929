#pragma once

#include "rattanrack/jobs/job.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What a cell's owner says to workers and hears from them.
namespace rattanrack::jobs {

/// A worker as its own entry in the platform's store describes it.
struct WorkerDescription {
    WorkerId id;
    MachineId machine;
    PoolId pool;
    std::string address; ///< "ip:port".
    DataCenterId dataCenter;
    ResourceSize capacity;
    std::vector<std::string> labels;
    std::string rack; ///< Empty when the worker names none.
    std::int64_t bornUnixMs { 0 }; ///< Start of its present life.
    bool isDraining { false };

    friend bool operator==(const WorkerDescription&, const WorkerDescription&) = default;
};

/// Begins a run. Idempotent: a worker that has the run says yes again, one that has ended it says no.
struct StartOrder {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    std::string spec;
    std::int64_t leaseUntilWorkerMs { 0 }; ///< On the worker's clock.
    Fence fence { 0 };
    std::string checkpoint;
    std::string ticket;
    std::int64_t bornUnixMs { 0 }; ///< Life that it is for. The worker is not told; a `WorkerChannel` sees to it.
};

/// Ends a run; one that is not there will not begin any more.
struct StopOrder {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    Fence fence { 0 };
};

/// Limits a run to a share of what it would use.
struct PaceOrder {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    int percent { 100 };
    Fence fence { 0 };
};

/// Asks what runs and what has ended, acknowledges ends, and renews the lease of all that runs there.
struct LookOrder {
    WorkerId worker;
    Fence fence { 0 };
    std::int64_t ackedThrough { 0 };
    std::int64_t leaseUntilWorkerMs { 0 }; ///< On the worker's clock; 0: leaves the lease as it is.
    Duration longestWait {}; ///< The worker answers at the next end, or after this.
    std::int64_t bornUnixMs { 0 }; ///< Life whose ends are acknowledged, and by whose clock the lease is.
};

using WorkerCommand = std::variant<StartOrder, StopOrder, PaceOrder, LookOrder>;

enum class CallStatus : std::uint8_t {
    Done,
    Refused, ///< With a `Refusal`; nothing was done.
    Unhealthy, ///< The worker is unhealthy; nothing was done.
    WrongWorker, ///< Another worker answers at that address.
    Malformed, ///< The order can't be understood; nothing was done.
    NotSent, ///< No connection to the worker in the order's life could be made; nothing was done.
    Expired, ///< Dropped by this node after too long in its queue; nothing was done.
    NoResponse, ///< May have been done, or may be done seconds later.
};

enum class RefusalReason : std::uint8_t { None, StaleFence, StaleRun, LeaseExpired, NoCapacity, InvalidTicket };

/// Outcome of a start, stop or pace.
struct CommandResult {
    CallStatus status { CallStatus::NoResponse };
    Refusal refusal { Refusal::None };
    std::int64_t workerClockMs { 0 }; ///< 0 when the answer told none.
    Duration queuedFor {}; ///< Time in this node's queue, before the order was sent or dropped.
    Duration
        answeredAfter {}; ///< From the decision to the answer, without the wait for the control thread; 0: unknown.
};

struct RunningEntry {
    TaskRef task;
    RunNumber run { 0 };
    std::string checkpoint;
    int percent { 0 }; ///< 100: at work in full, for what lasts.
    double measuredValue { 0 }; ///< Tail latency in ms of what serves; millicores in use of anything else.
};

struct EndEntry {
    std::int64_t sequence { 0 }; ///< Counts up from 1 in each life of the worker.
    TaskRef task;
    RunNumber run { 0 };
    EndKind outcome { EndKind::LeaseExpired };
    std::string checkpoint;
};

struct LookReport {
    std::int64_t bornUnixMs { 0 };
    std::int64_t workerClockMs { 0 };
    std::vector<RunningEntry> running;
    std::vector<EndEntry> endedRuns; ///< Ascending by number; those that are not acknowledged.
    bool areEndsComplete { true }; ///< False: there may be more, listed once these are acknowledged.
};

struct LookAnswer {
    CallStatus status { CallStatus::NoResponse };
    Refusal refusal { Refusal::None };
    LookReport report; ///< When Done.
    std::int64_t ackedThrough { 0 }; ///< Sent with the question; 0 where its life could not be made sure of.
};

} // namespace rattanrack::jobs
