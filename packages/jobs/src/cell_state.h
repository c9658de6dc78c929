#pragma once

#include "admission.h"
#include "customer_accounts.h"
#include "drain_rate.h"
#include "job_entry.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/offered_load.h"
#include "rattanrack/jobs/runtime_estimator.h"
#include "ready_step.h"
#include "worker_state.h"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <unordered_map>

/// Internal state of a cell, shared by its source files.
namespace rattanrack::jobs {

/// The run that the result of a start or stop is for; null when the run has been removed since.
struct CommandedRun {
    Worker* worker { nullptr };
    Run* run { nullptr };
};

/// A worker with runs of a step.
struct StepLocation {
    int occurrence { 0 };
    int step { 0 };
    Worker* worker { nullptr };

    friend auto operator<=>(const StepLocation&, const StepLocation&) = default;
};
using StepLocations = std::map<StepLocation, int>; ///< Number of runs.

/// A range of `StepLocations`, valid until the map changes.
struct StepLocationRange {
    StepLocations::const_iterator first;
    StepLocations::const_iterator last;

    StepLocations::const_iterator begin() const { return first; }
    StepLocations::const_iterator end() const { return last; }
};

/// Why a run is considered over although its worker has not listed its end.
struct EndEvidence {
    RunEvent::Kind kind { RunEvent::Kind::PresumedEnded };
    std::string_view text;
    TimePoint overAt {}; ///< The run was over by then.
};

/// A task that could run and has no active run.
struct MissingRun {
    TimePoint since {};
    TimePoint reportAt {};
    TimePoint checkedAt {}; ///< When a check last found it so.
};

/// Which workers trials may use.
enum class TrialScope : std::uint8_t {
    Limited, ///< A part of the workers; one that takes other starts is kept free until its latest start is proven.
    Idle, ///< Each worker that no other start needs now.
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
    CustomerAccounts customers;
    double weightWithWork { 0 }; ///< Of the customers that have work in the current pass.
    std::map<WorkerId, Worker> workers;
    WorkerMachines storedWorkers; ///< In the stored list: only these may be used.
    WorkerMachines inheritedWorkers; ///< Used by previous owners, and not polled yet.
    std::map<WorkerId, TimePoint> inheritedLeaseEnd; ///< Leases of previous owners have ended by then.
    bool wasHandedBack { false }; ///< The previous owner handed the cell back with its outstanding leases.
    std::set<MachineId> drainingMachines;
    std::set<MachineId> storedDrainedMachines; ///< Only these may be announced as drained.
    std::set<MachineId> machinesDrainedByEarlierOwners;
    TimePoint earlierDrainsOverAt {}; ///< From then on no command to `machinesDrainedByEarlierOwners` can arrive.
    std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs;
    /// All jobs that have not ended, and some that have since the last scheduling pass.
    std::vector<JobEntry*> unfinishedJobs;
    std::unordered_map<TaskRef, WorkerId> workerOfTask; ///< Which worker has the task's run.
    std::unordered_map<JobId, StepLocations> locationsByJob; ///< All runs on workers, by job.
    RuntimeEstimator runtimes;
    RunNumber firstRun { 1 };
    TimePoint takenOverAt {};
    TimePoint transactionSentAt {}; ///< When the latest transaction was sent.
    TimePoint ownershipConfirmedAt {}; ///< When the latest transaction that has succeeded since the takeover was sent.
    TimePoint listRequestedAt {}; ///< When the list of workers in use was requested from the store.
    TimePoint firstListAt {}; ///< When the first list after the takeover arrived.
    bool isRecovering { true };
    WorkerMachines workersAtTakeover; ///< As stored by the previous owner; empty once the recovery is over.
    /// When a worker of previous owners was last released without a response to this owner.
    TimePoint releasedWithoutContactAt {};
    /// When a worker last refused a command because of a higher fence than this owner's.
    TimePoint higherFenceSeenAt {};
    std::set<JobId> dirtyJobs; ///< Jobs with changes that are to be stored.
    JobId lastJobInCommit; ///< The next commit goes on after it, so that no job waits for more than one round.
    std::set<JobId> jobsInCommit;
    std::size_t maxJobsInCommit { std::numeric_limits<std::size_t>::max() };
    int commitsSinceRejection { 0 };
    /// The only job of a commit that the store has rejected. The next transaction, without any job, shows whether the
    /// job or the owner's row is the cause.
    std::optional<JobId> jobOfRejectedCommit;
    bool hasCommitInFlight { false };
    bool isCommitUrgent { false };
    std::int64_t unixMs { 0 }; ///< Wall clock of the latest call of `Cell::advance`.
    TimePoint nextRemovalAt {}; ///< When to look for old jobs to remove next.
    ResourceSize listedCapacity; ///< Of all listed workers.
    std::int64_t listedWorkers { 0 };
    Millicores waitingDemand; ///< Demand of steps that were ready and on time in the latest pass, but were not placed.
    OfferedLoad offeredLoad;
    DrainRate drainRate;
    bool isAnyTaskWaiting { false }; ///< In the latest pass, tasks that were ready did not start.
    Backlog backlog;
    std::vector<RefusedSubmission> refusals;
    SchedulingCost schedulingCost;
    StartWindow startWindow;
    int startsInFlight { 0 }; ///< Starts that count towards the window, in the current pass.
    bool isGangHeldBack { false }; ///< In the current pass, until enough of the window is free.
    bool isWindowFull { false }; ///< In the latest pass, starts waited for others to get a response.
    TimePoint windowFullAt {}; ///< When that was last so.
    std::map<TaskRef, MissingRun> missingRuns; ///< Tasks that could run without an active run.
    TimePoint nextMissingRunCheckAt {};
    CrashEvidence crashEvidence;
    TimePoint nextCrashCheckAt {};
    std::int64_t workersOfPool { 0 }; ///< As of the latest check of the crash evidence.
    TimePoint nextTrialReportAt {};
    bool hasReportedSuspects { false };
    TrialQueueEvent trialCounts; ///< Events since the latest report.
    CellOutput output;

    JobEntry* find(const JobId& job);
    const JobEntry* find(const JobId& job) const;
    void addJob(std::unique_ptr<JobEntry> entry);
    void removeFromUnfinished(JobEntry& entry);
    const QueueSettings* settingsOf(const QueueId& queue) const; ///< Null: the configuration does not contain it.
    static const QueueSettings& queueOf(const JobEntry& entry);

    /// Maximum of attempts as configured or, where the configuration doesn't contain the queue, as accepted with the
    /// job. 0: not known.
    static int attemptsOf(const JobEntry& entry);

    /// As configured or, where the configuration doesn't contain the queue, as accepted with the job.
    static bool requiresTickets(const JobEntry& entry);
    static const Step& stepOf(const JobEntry& entry, const TaskRef& task);
    void addEvent(CellEvent event) { output.events.push_back(std::move(event)); }
    RunEvent& addRunEvent(RunEvent::Kind kind, const Worker& worker, const TaskRef& task, RunNumber run,
        std::string_view detail, Duration age = {});

    /// Time since the latest transaction that proves the ownership was sent.
    Duration ownershipAge(TimePoint now) const { return now - std::max(ownershipConfirmedAt, takenOverAt); }

    // Commits: cell_commits.cpp
    static std::vector<CellRow> rowsOf(const JobEntry& entry);
    void refuseWaitingCallers(JobEntry& entry);
    void returnToUncommitted(const JobId& job);
    void excludeFromCommits(const JobId& job);

    // Runs: cell_runs.cpp
    /// `step`: null if the job is not known.
    Run& addRun(Worker& worker, const TaskRef& task, RunNumber number, const Step* step);

    /// Removes a run from its worker. Returns whether no worker has a run of the task any more.
    bool releaseRun(Worker& worker, const TaskRef& task);
    const Worker* workerRunning(const TaskRef& task) const;
    void presumeEnded(Worker& worker, const TaskRef& task, const EndEvidence& evidence, TimePoint now);
    void onWorkerLost(Worker& worker, std::string_view evidence, TimePoint now);
    void processEndedRun(Worker& worker, const EndedRun& ended, TimePoint now);
    /// Records what a worker lists as the run's checkpoint. `known`: the run; null if this owner has no record of it.
    void recordCheckpoint(const TaskRef& task, RunNumber number, const std::string& checkpoint, Run* known);
    void processRunning(Worker& worker, const PollReport& report, TimePoint sentAt, TimePoint now);
    void adoptRun(Worker& worker, const RunningRun& running, TimePoint now);
    void sendStop(Worker& worker, const TaskRef& task, RunNumber run, std::string_view reason);
    void stopJob(JobEntry& entry, std::string_view reason);
    void markChanged(JobEntry& entry);
    void recordOfferedLoad(const JobEntry& entry, TimePoint now);
    /// The runs of a failed job are stopped once the failure is stored: a later owner may not have come to it.
    void failIfOutOfAttempts(JobEntry& entry, const TaskRef& failed);

    /// Stores the change of the job before the task, or its gang, starts again.
    void storeBeforeNextStart(JobEntry& entry, const TaskRef& task);

    /// Whether an end as done counts. While workers of previous owners are not contacted, a replaced owner may still
    /// start the run that follows one that is presumed to have ended, or one on a worker that it has released.
    bool isDoneCounted(const Worker& worker, const JobEntry& entry, const EndedRun& ended) const;
    void advanceAcks(const WorkerId& id, Worker& worker);
    void advanceAllAcks();
    void removeOldJobs();

    // Sums over runs: cell_run_sums.cpp
    void updateSums(Worker& worker, const TaskRef& task, const Run& run, int count);
    StepLocationRange locationsOf(const JobId& job, int occurrence, int step) const;

    // Results: cell_results.cpp
    CommandedRun commandedRun(const WorkerId& id, const TaskRef& task, RunNumber number);
    static void retryLater(Worker& worker, Run& run, TimePoint now);

    // Starts: cell_starts.cpp
    void countStarts(TimePoint now);
    bool mayStartMore(TimePoint now);
    std::vector<Placement> admitStarts(
        const Step& step, const std::vector<Placement>& placements, const FreeCapacity& capacity, TimePoint now);
    void recordStartResult(const Worker& worker, const Run& run, const CommandResult& result, TimePoint now);
    void onStartFailed(
        Worker& worker, const StartCommand& command, Run& run, const CommandResult& result, TimePoint now);

    // Workers: cell_workers.cpp
    void recordReplacedWorkers(TimePoint now);

    /// Another worker responds at the address in the worker's row. That ends the worker's runs if the worker itself has
    /// responded there; otherwise the row may be wrong, and it only counts as a crash. Returns whether the runs have
    /// ended.
    bool onOtherWorkerAtAddress(Worker& worker, TimePoint now);
    TimePoint latestStart(const Worker& worker, const PollReport& report, TimePoint now) const;
    void sendPolls(TimePoint now, bool mayRenew);
    void retryCommands(TimePoint now, bool mayStart);
    void checkUnresponsive(TimePoint now);

    /// Whether starts may be sent to the incarnation that responds.
    bool isIncarnationConfirmed(const Worker& worker) const;

    /// When the leases that this owner and previous ones have granted to the run have ended, if no more are granted.
    TimePoint leaseEndOf(const Worker& worker, const Run& run, TimePoint now) const;
    void grantStart(Worker& worker, Run& run, TimePoint now);
    void recordIncarnation(Worker& worker, std::int64_t incarnationUnixMs, bool isBound, TimePoint now) const;

    /// A command that carried a lease by the clock of that incarnation, and was not bound to it, has a result or is
    /// abandoned.
    void recordDelivery(Worker& worker, std::int64_t incarnationUnixMs, CommandStatus status, TimePoint now) const;
    void throttleBestEffort(Worker& worker, TimePoint now); // cell_throttling.cpp
    bool mayAvoidOneMore(const Worker& worker, TimePoint now) const;
    void recordFailure(Worker& worker, TimePoint now);
    void recordHigherFence(const WorkerId& worker, TimePoint now);
    void drainMachines(TimePoint now);

    /// Whether the machine may be taken down by a command: nothing starts there.
    bool mayBeTakenDown(const MachineId& machine, TimePoint now) const;
    DrainedMachines drainingMachinesWithoutWork() const;
    void checkRecovery(TimePoint now);

    /// Waits for the worker no longer, since nothing that previous owners started there runs any more.
    void releaseInherited(const WorkerId& worker, TimePoint now);

    /// Whether the recovery only waits for a transaction that is sent after the latest release without contact. It
    /// proves that no later owner has contacted the worker meanwhile.
    bool isRecoveryUnconfirmed() const;
    int unavailableMembers(const JobEntry& entry, const TaskRef& member, TimePoint now) const;

    // Customers: cell_customers.cpp
    void configureCustomers(const std::vector<Customer>& configured);
    void countCustomersWithWork(const std::vector<ReadyStep>& ready);
    bool isAtFairShare(const JobEntry& entry) const;

    /// How many tasks of the step the quota of the job's customer permits to start now, at most `wanted`.
    int tasksWithinQuota(const JobEntry& entry, const Step& step, int wanted) const;
    static void recordHeldByQuota(const JobEntry& entry, const Step& step, int tasks);
    void limitToQuota(const ReadyStep& ready, std::vector<Placement>& placements, FreeCapacity& capacity);

    /// Whether the quota permits none of the step's tasks now. Records what waits for it.
    bool isHeldByQuota(const ReadyStep& ready, const FreeCapacity& capacity);

    // Tasks that crash workers: cell_crashes.cpp
    JobEntry* findUndecided(const TaskRef& task);
    bool isSuspect(const TaskRef& task) const { return crashEvidence.suspects.contains(task); }
    void recordStartSent(Worker& worker, const StartCommand& start, TimePoint now);
    static void recordStartAnswered(
        Worker& worker, const StartCommand& start, std::int64_t workerClockMs, TimePoint now);
    void recordStartEvidence(
        Worker& worker, const Run* run, const StartCommand& command, const CommandResult& result, TimePoint now);
    void discardStart(Worker& worker, const TaskRef& task, RunNumber run);
    void recordContactLoss(Worker& worker, const ContactLoss& loss, TimePoint now);
    void recordRestart(Worker& worker, std::int64_t laterUnixMs, TimePoint now);
    void recordRestartIfLater(Worker& worker, std::int64_t incarnationUnixMs, TimePoint now)
    {
        if (incarnationUnixMs > worker.incarnationUnixMs)
            recordRestart(worker, incarnationUnixMs, now);
    }
    void confirmCrash(const Worker& worker, std::int64_t laterUnixMs, TimePoint now);
    void addLostStart(const Worker& worker, const UnprovenStart& start, const ContactLoss& loss);
    bool areJobsKeptApart() const;
    void recordStartReceived(const StartCommand& start);
    void addSuspect(JobEntry& entry, const TaskRef& task, const LostStart& lost);
    void removeLostStarts(const TaskRef& task, const std::function<bool(const LostStart&)>& isRemoved,
        bool isCleared = false, TimePoint now = {});
    void inheritSuspects(JobEntry& entry);
    void recordSurvival(const Worker& worker, const UnprovenStart& start, TimePoint now);
    void reviewStarts(Worker& worker, const PollReport& report, TimePoint sentAt, TimePoint now);
    void expireCrashEvidence(TimePoint now);
    void sendSurvivalChecks(TimePoint now);
    void onSurvivalCheck(
        Worker& worker, const PollCommand& check, const PollResult& result, TimePoint sentAt, TimePoint now);
    CrashVerdict crashVerdict(const Task& task, TimePoint now) const;
    bool isProvenToCrash(const Task& task, TimePoint now) const;
    bool isHeldForEvidence(const Task& task, TimePoint now) const;
    void giveUp(JobEntry& entry, const TaskRef& task);

    // Crashes by other causes: cell_crash_rates.cpp
    std::int64_t countWorkersOfPool() const;
    double crashRate(TimePoint now) const;
    double crashRateAfterRestart(TimePoint now) const;
    void observeRestartedWorkers(Duration period, TimePoint now);

    // Trials of suspects: cell_trials.cpp
    bool isLostInEarlierIncarnation(const Worker& worker, const Run& run) const;
    bool isLossStored(const TaskRef& task) const;
    bool mayRetryAsTrial(const Worker& worker, const TaskRef& task, TimePoint now) const;
    bool mayStartTrial(const JobEntry& entry, const TaskRef& task, TimePoint now, std::int64_t wallMs) const;
    std::vector<Trial> waitingTrials(bool isOverloaded, TimePoint now, std::int64_t wallMs);
    void startTrials(FreeCapacity& capacity, TrialScope scope, bool isOverloaded, TimePoint now, std::int64_t wallMs);
    void startTrial(const Trial& trial, FreeCapacity& capacity, TrialScope scope, TimePoint now);

    // Reports of the trials: cell_trial_report.cpp
    void reportTrialQueue(TimePoint now, std::int64_t wallMs);
    void addToReport(TrialQueueEvent& report, const TaskRef& suspect, TimePoint now, std::int64_t wallMs);

    // Tasks without a run: cell_missing_runs.cpp
    void checkMissingRuns(bool mayStart, TimePoint now);

    // Admission: cell_admission.cpp
    double expectedDrainRate() const;
    void countBacklog(TimePoint now);
    std::optional<ExpectedWait> expectedWait(JobEntry& submitted, TimePoint now);
    bool refuseIfHopeless(JobEntry& submitted, CallerToken token, TimePoint now);
    void replyToRefusals(TimePoint sentAt);

    // Scheduling: cell_schedule.cpp
    void schedule(TimePoint now, std::int64_t wallMs);
    static Rank rankOf(const JobEntry& entry, const Step& step, TimePoint now);
    static std::int64_t sortKeyOf(const JobEntry& entry, Rank rank, bool areStartsScarce);
    std::vector<ReadyStep> readySteps(TimePoint now, std::int64_t wallMs); ///< Unsorted.
    bool skipIfNoCapacity(const ReadyStep& ready, const FreeCapacity& capacity);
    void addWaitingDemand(const ReadyStep& ready, int missing);
    void startStepIfPermitted(const ReadyStep& ready, FreeCapacity& capacity, TimePoint now);
    void startSteps(std::span<const ReadyStep> steps, FreeCapacity& capacity, TimePoint now);
    void startStep(const ReadyStep& ready, FreeCapacity& capacity, TimePoint now);
    const std::map<WorkerId, std::string>* validTickets(
        const ReadyStep& ready, const FreeCapacity& capacity, TimePoint now);
    void startOn(Worker& worker, const ReadyStep& ready, int index, RunNumber number,
        const std::map<WorkerId, std::string>* tickets, TimePoint now);
    void estimateCriticalPath(JobEntry& entry);
    ResourceSize capacityOfListedWorkers() const;
};

/// Run numbers that are reserved for each term, one for each start.
constexpr RunNumber runsPerTerm = 1'000'000;

} // namespace rattanrack::jobs
