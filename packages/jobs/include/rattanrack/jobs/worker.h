#pragma once

#include "rattanrack/jobs/job.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Commands of a cell's owner to workers, and their results.
namespace rattanrack::jobs {

/// A worker as its own row in the platform's store describes it.
struct WorkerDescription {
    WorkerId id;
    MachineId machine;
    PoolId pool;
    std::string address; ///< "ip:port".
    DataCenterId dataCenter;
    ResourceSize capacity;
    std::vector<std::string> labels;
    std::string rack; ///< Empty when the worker has none.
    std::int64_t incarnationUnixMs { 0 }; ///< Start of the worker's current incarnation, which it identifies.
    bool isDraining { false };

    friend bool operator==(const WorkerDescription&, const WorkerDescription&) = default;
};

/// Starts a run. Idempotent: a worker that has the run accepts the command again, one on which the run has ended
/// refuses it.
struct StartCommand {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    std::string spec;
    std::int64_t leaseUntilWorkerMs { 0 }; ///< On the worker's clock.
    Fence fence { 0 };
    std::string checkpoint;
    std::string ticket;
    /// Incarnation that the start is meant for. Not sent to the worker; the `WorkerChannel` checks it.
    std::int64_t incarnationUnixMs { 0 };
};

/// Stops a run. If the worker does not have the run, a later start of it has no effect.
struct StopCommand {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    Fence fence { 0 };
};

/// Limits a run to a percentage of what it would use.
struct ThrottleCommand {
    WorkerId worker;
    TaskRef task;
    RunNumber run { 0 };
    int percent { 100 };
    Fence fence { 0 };
};

/// Requests the running and the ended runs, acknowledges ended runs, and renews the lease of all runs on the worker.
struct PollCommand {
    WorkerId worker;
    Fence fence { 0 };
    std::int64_t ackedThrough { 0 };
    std::int64_t leaseUntilWorkerMs { 0 }; ///< On the worker's clock; 0: the lease is not renewed.
    Duration longestWait {}; ///< The worker responds when a run ends, or after this time.
    /// Incarnation whose ended runs are acknowledged, and by whose clock the lease is.
    std::int64_t incarnationUnixMs { 0 };
    /// Asks only whether the incarnation is up. Sent beside another poll, which may be waiting.
    bool isSurvivalCheck { false };
};

using WorkerCommand = std::variant<StartCommand, StopCommand, ThrottleCommand, PollCommand>;

enum class CommandStatus : std::uint8_t {
    Done,
    Refused, ///< With a `RefusalReason`; nothing was done.
    Unhealthy, ///< The worker is unhealthy; nothing was done.
    WrongWorker, ///< Another worker responds at that address.
    Malformed, ///< The worker could not parse the command; nothing was done.
    NotSent, ///< No connection to the incarnation that the command is meant for; nothing was done.
    Expired, ///< Dropped by this node after too long in its queue; nothing was done.
    NoResponse, ///< May have been done, or may be done seconds later.
};

enum class RefusalReason : std::uint8_t { None, StaleFence, StaleRun, LeaseExpired, NoCapacity, InvalidTicket };

/// Result of a start, stop or throttle command.
struct CommandResult {
    CommandStatus status { CommandStatus::NoResponse };
    RefusalReason refusal { RefusalReason::None };
    std::int64_t workerClockMs { 0 }; ///< 0: not in the response.
    /// No incarnation but the one that the start is meant for can have received it.
    bool isBound { false };
    Duration queuedFor {}; ///< Time in this node's queue, before the command was sent or dropped.
    /// From the decision to the response, without the wait for the control thread; 0: unknown.
    Duration responseTime {};
    /// With `NoResponse`: the worker's side ended the connection before the time-out, as when its process ends.
    bool isConnectionEnded { false };
    TimePoint receivedAt {}; ///< Of the response or the failure, without the wait for the control thread; 0: unknown.
};

struct RunningRun {
    TaskRef task;
    RunNumber run { 0 };
    std::string checkpoint;
    int percent { 0 }; ///< Long-running tasks: 100 once they work at full capacity.
    double measuredValue { 0 }; ///< Tail latency in ms of serving runs; millicores in use of all other runs.
};

struct EndedRun {
    std::int64_t sequence { 0 }; ///< Counts up from 1 in each incarnation of the worker.
    TaskRef task;
    RunNumber run { 0 };
    RunOutcome outcome { RunOutcome::LeaseExpired };
    std::string checkpoint;
};

struct PollReport {
    std::int64_t incarnationUnixMs { 0 };
    std::int64_t workerClockMs { 0 };
    std::vector<RunningRun> running;
    std::vector<EndedRun> endedRuns; ///< Ended runs that are not acknowledged, ascending by sequence.
    bool areEndedRunsComplete { true }; ///< False: there may be more, listed once these are acknowledged.
};

struct PollResult {
    CommandStatus status { CommandStatus::NoResponse };
    RefusalReason refusal { RefusalReason::None };
    PollReport report; ///< When Done.
    std::int64_t ackedThrough { 0 }; ///< As sent with the poll; 0 if the poll could not be bound to the incarnation.
    /// No incarnation but the one that the poll's lease is meant for can have received the lease. Of a poll without a
    /// lease that is Done: whether the worker keeps its connection, which is what binds leases.
    bool isBound { false };
    /// With `NoResponse`: the worker's side ended the connection before the time-out, as when its process ends.
    bool isConnectionEnded { false };
    TimePoint receivedAt {}; ///< As in `CommandResult`.
};

} // namespace rattanrack::jobs
