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
    std::int64_t incarnationUnixMs { 0 }; ///< Start of its present life.
    bool isDraining { false };

    friend bool operator==(const WorkerDescription&, const WorkerDescription&) = default;
};

/// Begins a run. Idempotent: a worker that has the run says yes again, one that has ended it says no.
struct StartCommand {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    std::string spec;
    std::int64_t leaseUntilWorkerMs { 0 }; ///< On the worker's clock.
    Fence fence { 0 };
    std::string checkpoint;
    std::string ticket;
    std::int64_t incarnationUnixMs {
        0
    }; ///< Life that it is for. The worker is not told; a `WorkerChannel` sees to it.
};

/// Ends a run; one that is not there will not begin any more.
struct StopCommand {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    Fence fence { 0 };
};

/// Limits a run to a share of what it would use.
struct ThrottleCommand {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    int percent { 100 };
    Fence fence { 0 };
};

/// Asks what runs and what has ended, acknowledges ends, and renews the lease of all that runs there.
struct PollCommand {
    WorkerId worker;
    Fence fence { 0 };
    std::int64_t ackedThrough { 0 };
    std::int64_t leaseUntilWorkerMs { 0 }; ///< On the worker's clock; 0: leaves the lease as it is.
    Duration longestWait {}; ///< The worker answers at the next end, or after this.
    std::int64_t incarnationUnixMs { 0 }; ///< Life whose ends are acknowledged, and by whose clock the lease is.
};

using WorkerCommand = std::variant<StartCommand, StopCommand, ThrottleCommand, PollCommand>;

enum class CommandStatus : std::uint8_t {
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
    CommandStatus status { CommandStatus::NoResponse };
    RefusalReason refusal { RefusalReason::None };
    std::int64_t workerClockMs { 0 }; ///< 0 when the answer told none.
    Duration queuedFor {}; ///< Time in this node's queue, before the order was sent or dropped.
    Duration responseTime {}; ///< From the decision to the answer, without the wait for the control thread; 0: unknown.
};

struct RunningRun {
    TaskRef task;
    RunNumber run { 0 };
    std::string checkpoint;
    int percent { 0 }; ///< 100: at work in full, for what lasts.
    double measuredValue { 0 }; ///< Tail latency in ms of what serves; millicores in use of anything else.
};

struct EndedRun {
    std::int64_t sequence { 0 }; ///< Counts up from 1 in each life of the worker.
    TaskRef task;
    RunNumber run { 0 };
    RunOutcome outcome { RunOutcome::LeaseExpired };
    std::string checkpoint;
};

struct PollReport {
    std::int64_t incarnationUnixMs { 0 };
    std::int64_t workerClockMs { 0 };
    std::vector<RunningRun> running;
    std::vector<EndedRun> endedRuns; ///< Ascending by number; those that are not acknowledged.
    bool areEndedRunsComplete { true }; ///< False: there may be more, listed once these are acknowledged.
};

struct PollResult {
    CommandStatus status { CommandStatus::NoResponse };
    RefusalReason refusal { RefusalReason::None };
    PollReport report; ///< When Done.
    std::int64_t ackedThrough { 0 }; ///< Sent with the question; 0 where its life could not be made sure of.
};

} // namespace rattanrack::jobs
