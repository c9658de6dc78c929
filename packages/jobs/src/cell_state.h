#pragma once

#include "rattanrack/jobs/best_effort_throttle.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/lease_clock.h"
#include "rattanrack/jobs/offered_load.h"
#include "rattanrack/jobs/runtime_estimator.h"
#include "rattanrack/jobs/start_window.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

/// The insides of a cell, shared by its source files.
namespace rattanrack::jobs {

/// Whether a job in this state leaves it no more.
constexpr bool isTerminal(JobState state) { return state != JobState::Queued && state != JobState::Active; }

enum class RunPhase : std::uint8_t {
    Starting, ///< The start has no answer yet.
    Confirmed, ///< The worker has said that it runs.
    Stopping,
};

/// A run that may be going on.
struct Run {
    RunNumber number { 0 };
    RunPhase phase { RunPhase::Starting };
    ResourceSize size; ///< What it takes of the worker's room.
    bool isLongRunning { false };
    bool isBestEffort { false };
    bool isServing { false }; ///< Has a latency target.
    bool mayStartLate { false }; ///< A start had no answer: it may still be carried out.
    bool hasCommandInFlight { false }; ///< A start or stop waits for its answer.
    bool hasStartInFlight { false }; ///< It is a start, and carries a lease.
    std::optional<std::int64_t> seenInIncarnation; ///< Life of the worker that is known to run it, by its birth.
    TimePoint startSentAt {};
    TimePoint confirmedAt {};
    TimePoint safeFromEarlierStopAt {}; ///< From then on no stop by an earlier owner can be ending it any more.
    TimePoint
        acknowledgedAt {}; ///< When the worker last said yes to a start or stop; a later look tells whether it runs.
    TimePoint retryAt {};
    std::uint64_t seenInPoll { 0 }; ///< Number of the latest look that listed it as running.
    int percent { 0 };
    int throttlePercent { 100 };
    double measuredValue { 0 };
    StartCommand start; ///< Sent again while it has no answer.

    bool is(RunNumber other) const { return number == other; }
};

/// An end that has been taken in, until it may be acknowledged.
struct UnacknowledgedRun {
    std::int64_t sequence { 0 };
    JobId job;
    std::uint64_t revision { 0 }; ///< Of the job, which must be stored; 0: nothing need be stored.
};

enum class WorkerContact : std::uint8_t {
    Unknown, ///< Not looked at under this owner's fence.
    Responsive,
    Unresponsive,
};

/// Runs on a worker that others notice beside them. Kept up as runs come and go.
struct ColocatedRuns {
    int longRunning { 0 }; ///< Other than fillers.
    int serving { 0 }; ///< With a latency target.
    int bestEffortRuns { 0 };

    /// `count`: 1 for a run that comes, -1 for one that goes.
    void add(const Run& run, int count)
    {
        bestEffortRuns += run.isBestEffort ? count : 0;
        longRunning += run.isLongRunning && !run.isBestEffort ? count : 0;
        serving += run.isServing ? count : 0;
    }
};

struct Worker {
    WorkerDescription description;
    bool isListed { false };
    WorkerContact contact { WorkerContact::Unknown };
    LeaseClock clock;
    std::int64_t incarnationUnixMs { 0 };
    TimePoint startedAtLatest {}; ///< The life that answers began then at the latest.
    std::unordered_map<TaskRef, Run> runs;
    ResourceSize used;
    ResourceSize usedByLongRunning; ///< By what does not end by itself.
    ColocatedRuns colocatedRuns;
    int candidateIndex { -1 }; ///< Among the usable workers of the present pass of decisions.
    std::int64_t processedThrough { 0 };
    std::int64_t ackedThrough { 0 };
    std::int64_t lastAckSent { 0 }; ///< What the last answered look acknowledged.
    std::deque<UnacknowledgedRun> unacknowledgedRuns;
    std::uint64_t pollsProcessed { 0 };
    bool mayHaveRetries { false }; ///< Some run may have an order that is due again.
    bool hasPollInFlight { false };
    bool hasRenewalInFlight { false }; ///< It is a look that carries a lease.
    bool needsPoll { true };
    TimePoint nextPollAt {};
    int consecutiveFailures { 0 };
    TimePoint avoidUntil {};
    TimePoint failingUntil {}; ///< Avoided for its failures; the next success ends it.
    int startsInFlight { 0 };
    bool isSlow { false }; ///< Answers starts more slowly than others do.
    BestEffortThrottle pacing;

    bool isAvoided(TimePoint now) const { return now < avoidUntil || isAvoidedForFailures(now); }
    bool isAvoidedForFailures(TimePoint now) const { return now < failingUntil; }
    bool mayTakeStarts() const { return !isSlow && startsInFlight < StartWindow::maxPerWorker; }

    /// A life has answered that has not before. What earlier ones have said is over, but for what may still run.
    void beginIncarnation(std::int64_t unixMs, TimePoint atLatest);

    /// Something may run there, or has ended and is known to this owner alone.
    bool hasUnfinishedWork() const { return !runs.empty() || !unacknowledgedRuns.empty(); }

    bool hasLongRunning() const;

    /// An order that carries a lease has no answer yet.
    bool hasLeaseInFlight() const;

    /// The list tells of the life that has answered. A life may be of another kind than the one before, or leave.
    bool isDescriptionCurrent() const { return description.incarnationUnixMs >= incarnationUnixMs; }

    /// The list names a later life than any that has answered.
    bool isLaterIncarnationListed() const { return description.incarnationUnixMs > incarnationUnixMs; }
};

/// What the answer to a start or stop is about; no run when it has been released since.
struct CommandedRun {
    Worker* worker { nullptr };
    Run* run { nullptr };
};

/// Where runs of a step are.
struct StepLocation {
    int occurrence { 0 };
    int step { 0 };
    Worker* worker { nullptr };

    friend auto operator<=>(const StepLocation&, const StepLocation&) = default;
};
using StepLocations = std::map<StepLocation, int>; ///< Number of runs.

/// A part of a `StepPlaces`, valid while that is left as it is.
struct StepLocationRange {
    StepLocations::const_iterator first;
    StepLocations::const_iterator last;

    StepLocations::const_iterator begin() const { return first; }
    StepLocations::const_iterator end() const { return last; }
};

struct StepTickets {
    std::map<WorkerId, std::string> tickets;
    TimePoint validUntil {};
    TimePoint retryAt {};
    bool isRequested { false };
};

struct JobEntry {
    JobEntry(Job accepted, JobProgress made)
        : job(std::move(accepted))
        , progress(std::move(made))
    {
    }

    Job job;
    JobProgress progress;
    const QueueSettings* queue { nullptr }; ///< As configured; none while it is not.
    bool isAmongUnfinished { false }; ///< In `CellState::open`.
    bool isTakenOver { false }; ///< Taken over: an earlier owner may have started parts of it.
    bool isStored { false };
    bool isMarkedForRemoval { false }; ///< Its rows are to be removed.
    std::uint64_t revision { 0 }; ///< Grows with each change that is to be stored.
    std::uint64_t revisionInCommit { 0 };
    std::uint64_t storedRevision { 0 };
    std::uint64_t failureRevision { 0 }; ///< With which the latest failure is stored.
    JobState stateInCommit { JobState::Queued };
    JobState storedState { JobState::Queued };
    std::vector<CallerToken> waitingCallers; ///< Callers that wait for the next commit.
    std::vector<CallerToken> callersInCommit; ///< Callers that wait for the commit on its way.
    TimePoint acceptedAt {};
    Duration criticalPath {}; ///< Longest chain of work left.
    TimePoint dueAt {}; ///< Later than this is late.
    std::int64_t declaredWork { 0 }; ///< Declared, in millicores times milliseconds.
    bool isCriticalPathStale { true };
    std::map<std::pair<int, int>, StepTickets> tickets; ///< By occurrence and step.

    /// Whether the subtask waits for its start. One that has failed waits also until that is stored, since the next
    /// owner would not count a failure that it hears of only after a further run has begun.
    bool isStartable(int occurrence, int step, int index) const;
    int startableTasks(int occurrence, int step) const;
};

/// Flood of one kind: what can't be in time any more waits behind what can; what has begun is brought to its end; among
/// the rest small jobs come first, which serves the most callers by the same work.
enum class Rank : std::uint8_t { LongRunning, Started, OnTime, Late, NoValue };

/// A step that could run now.
struct ReadyStep {
    JobEntry* entry { nullptr };
    int occurrence { 0 };
    int step { 0 };
    Rank rank { Rank::OnTime };
    int priority { 0 };
    std::int64_t sortKey { 0 }; ///< Within the rank: work, or time due.

    const Step& spec() const { return entry->job.spec.steps[static_cast<std::size_t>(step)]; }
    /// What comes first. Ids decide among jobs that are equal in all else.
    friend bool operator<(const ReadyStep& left, const ReadyStep& right)
    {
        if (left.rank != right.rank)
            return left.rank < right.rank;
        if (left.priority != right.priority)
            return left.priority < right.priority;
        if (left.sortKey != right.sortKey)
            return left.sortKey < right.sortKey;
        const Job& leftJob = left.entry->job;
        const Job& rightJob = right.entry->job;
        if (leftJob.acceptedAtUnixMs != rightJob.acceptedAtUnixMs)
            return leftJob.acceptedAtUnixMs < rightJob.acceptedAtUnixMs;
        if (left.entry != right.entry)
            return leftJob.id < rightJob.id;
        return std::pair { left.occurrence, left.step } < std::pair { right.occurrence, right.step };
    }
};

class FreeCapacity;
struct Placement;

struct CellState {
    explicit CellState(CellSettings cellSettings)
        : settings(std::move(cellSettings))
    {
    }

    CellSettings settings;
    std::map<QueueId, QueueSettings> queues;
    std::map<WorkerId, Worker> workers;
    WorkerMachines storedWorkers; ///< May be used.
    WorkerMachines inheritedWorkers; ///< Used by earlier owners, and not looked at yet.
    std::map<WorkerId, TimePoint> inheritedLeaseEnd; ///< What earlier owners granted has ended by then.
    std::set<MachineId> drainingMachines;
    std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs;
    std::vector<JobEntry*>
        unfinishedJobs; ///< All jobs that have not ended, and some that have since the last decisions.
    std::unordered_map<TaskRef, WorkerId> workerOfTask; ///< Where a subtask's run is.
    std::unordered_map<JobId, StepLocations> locationsByJob; ///< All that workers hold, by job.
    RuntimeEstimator runtimes;
    RunNumber firstRun { 1 };
    TimePoint takenOverAt {};
    TimePoint transactionSentAt {}; ///< The latest one.
    TimePoint ownershipConfirmedAt {}; ///< When the latest one that has succeeded was sent, since the takeover.
    TimePoint listRequestedAt {}; ///< When the store was asked for the list of workers in use.
    bool isRecovering { true };
    TimePoint higherFenceSeenAt {}; ///< When a worker last refused for a higher fence than this owner's.
    std::set<JobId> dirtyJobs; ///< Jobs with changes that are to be stored.
    std::set<JobId> jobsInCommit;
    bool hasCommitInFlight { false };
    bool isCommitUrgent { false };
    std::int64_t unixMs { 0 }; ///< Wall clock of the latest step.
    TimePoint nextRemovalAt {}; ///< When jobs that ended long ago are looked for next.
    ResourceSize listedCapacity; ///< Of all listed workers.
    Millicores waitingDemand; ///< Wanted by what was ready and in time at the latest decision, and found no place.
    OfferedLoad offeredLoad;
    SchedulingCost schedulingCost;
    StartWindow startWindow;
    int startsInFlight { 0 }; ///< That take of the window, in the present pass of decisions.
    bool isGangHeldBack { false }; ///< In the present pass, until enough of the window is free.
    CellOutput output;

    JobEntry* find(const JobId& job);
    const JobEntry* find(const JobId& job) const;
    void addJob(std::unique_ptr<JobEntry> entry);
    void removeFromUnfinished(JobEntry& entry);
    static const QueueSettings& queueOf(const JobEntry& entry);

    /// By the configuration, and where that does not name the queue, as accepted. 0: not known.
    static int attemptsOf(const JobEntry& entry);
    static const Step& stepOf(const JobEntry& entry, const TaskRef& task);
    void addEvent(CellEvent event) { output.events.push_back(std::move(event)); }
    void addRunEvent(RunEvent::Kind kind, const Worker& worker, const TaskRef& task, RunNumber run,
        std::string_view detail, Duration age = {});

    // Runs: cell_runs.cpp
    Run& addRun(Worker& worker, const TaskRef& task, RunNumber number, const Step& step);

    /// Takes a run off its worker. Returns whether no worker holds any run of the subtask now.
    bool releaseRun(Worker& worker, const TaskRef& task);
    const Worker* workerRunning(const TaskRef& task) const;
    void presumeEnded(Worker& worker, const TaskRef& task, std::string_view proof,
        RunEvent::Kind kind = RunEvent::Kind::PresumedEnded);
    void onWorkerLost(Worker& worker, std::string_view proof);
    void processEndedRun(Worker& worker, const EndedRun& end, TimePoint now);
    void processRunning(Worker& worker, const PollReport& report, TimePoint sentAt, TimePoint now);
    void adoptRun(Worker& worker, const RunningRun& entry, TimePoint now);
    void sendStop(Worker& worker, const TaskRef& task, RunNumber run, std::string_view reason);
    void stopJob(JobEntry& entry, std::string_view reason);
    void markChanged(JobEntry& entry);
    void recordOfferedLoad(const JobEntry& entry, TimePoint now);
    void failIfOutOfAttempts(JobEntry& entry, const TaskRef& failed);
    void advanceAcks(const WorkerId& id, Worker& worker);
    void advanceAllAcks();
    void removeOldJobs();

    // Sums over runs: cell_run_sums.cpp
    void updateSums(Worker& worker, const TaskRef& task, const Run& run, int count);
    StepLocationRange locationsOf(const JobId& job, int occurrence, int step) const;

    // Results: cell_results.cpp
    CommandedRun commandedRun(const WorkerId& id, const TaskRef& task, RunNumber number);

    // Starts: cell_starts.cpp
    void countStarts(TimePoint now);
    bool mayStartMore(TimePoint now);
    std::vector<Placement> admitStarts(
        const Step& step, const std::vector<Placement>& placements, const FreeCapacity& space, TimePoint now);
    void recordStartResult(const Worker& worker, const Run& run, const CommandResult& answer, TimePoint now);
    void onStartFailed(Worker& worker, const StartCommand& order, Run& run, const CommandResult& answer);

    // Workers: cell_workers.cpp
    void sendPolls(TimePoint now, bool mayRenew);
    void retryCommands(TimePoint now, bool mayStart);
    void checkUnresponsive(TimePoint now);

    /// Whether starts may go to the life of the worker that answers.
    bool isIncarnationConfirmed(const Worker& worker) const;

    /// What this owner and earlier ones have granted to the run has ended by then, if nothing more is granted.
    TimePoint leaseEndOf(const Worker& worker, const Run& run, TimePoint now) const;
    void grantStart(Worker& worker, Run& run, TimePoint now);

    /// An order that carried a lease by the clock of that life has been answered, or is given up.
    void recordDelivery(Worker& worker, std::int64_t incarnationUnixMs, CommandStatus status, TimePoint now) const;
    void throttleBestEffort(Worker& worker, TimePoint now);
    bool mayAvoidOneMore(const Worker& worker, TimePoint now) const;
    void recordFailure(Worker& worker, TimePoint now);
    void recordHigherFence(const WorkerId& worker, TimePoint now);
    void drainMachines(TimePoint now);
    void checkRecovery(TimePoint now);
    int unavailableMembers(const JobEntry& entry, const TaskRef& member, TimePoint now) const;

    // Decisions: cell_schedule.cpp
    void schedule(TimePoint now, std::int64_t wallMs);
    std::vector<ReadyStep> readySteps(TimePoint now, std::int64_t wallMs); ///< In no order.
    bool skipIfNoCapacity(const ReadyStep& ready, const FreeCapacity& space);
    void addWaitingDemand(const ReadyStep& ready, int missing);
    void startStep(const ReadyStep& ready, FreeCapacity& space, TimePoint now);
    const StepTickets* validTickets(const ReadyStep& ready, const FreeCapacity& space, TimePoint now);
    void startOn(
        Worker& worker, const ReadyStep& ready, int index, RunNumber number, const StepTickets* ticket, TimePoint now);
    void estimateCriticalPath(JobEntry& entry);
    ResourceSize capacityOfListedWorkers() const;
};

/// Numbers of runs leave room for this many starts under one owner.
constexpr RunNumber runsPerTerm = 1'000'000;

} // namespace rattanrack::jobs
