#pragma once

#include "model_worker.h"
#include "owner_links.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/ownership.h"
#include "rule_oracle.h"
#include "start_survival.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulation of one cell, its workers and its part of the store in virtual time. An oracle checks invariants and uses
/// only what workers and callers can observe.
namespace rattanrack::jobs::model {

constexpr int maxAttempts = 3; ///< Of each task.
constexpr Duration networkDelay = std::chrono::milliseconds { 2 };
/// A run that is being stopped is listed as running this long at most.
constexpr Duration longestStop = std::chrono::milliseconds { 900 };

/// Of each worker that has not shrunk.
constexpr ResourceSize wholeCapacity { Millicores { 16000 }, Mebibytes { 65536 }, Accelerators { 0 } };

struct FaultRates {
    double lostCommands { 0 }; ///< Share of the commands that get no response and are carried out seconds later.
    double lostResponses { 0 }; ///< Share of the commands that are carried out at once and get no response.
    double failedRuns { 0 }; ///< Share of the runs that fail.
    double crashesPerSecond { 0 }; ///< Of workers, which restart after seconds, half of them under a new id.
    double partitionsPerSecond { 0 }; ///< Workers that are unreachable for seconds and go on running.
    /// Links of one worker with the owners up to the present one, or with all later ones, that are cut for seconds.
    double ownerLinkCutsPerSecond { 0 };
    double ownerLossesPerSecond { 0 }; ///< Owners that are lost without notice; another one takes over.
    double failedCommits { 0 }; ///< Share of the transactions that the store rejects.
    double slowStops { 0 }; ///< Share of the stops after which a run is listed as running for up to `longestStop`.
    double workerDrainsPerSecond { 0 }; ///< Workers that the list shows as draining and that leave seconds later.
    double machineDrainsPerSecond { 0 }; ///< Machines that are draining for some seconds.
    double handBacksPerSecond { 0 }; ///< Planned changes of the owner.
    /// Share of the runs' own ends at or just after which their worker is partitioned.
    double partitionsAtRunEnds { 0 };
    double ownerChangesInPartitions { 0 }; ///< Share of those partitions soon after whose start the owner changes.
    double truncatedPolls { 0 }; ///< Share of the polls that list one ended run at most.
    double storeStallsPerSecond { 0 }; ///< Periods in which transactions take up to seconds.
    double survivingOwners { 0 }; ///< Share of the lost owners that go on beside the next one, without the store.
    double listReadsWhenReplaced { 0 }; ///< Share of the reads of the worker list by replaced owners that succeed.
    double slowListReads { 0 }; ///< Share of the reads of the worker list that take seconds.
    double loopStallsPerSecond { 0 }; ///< Times a second at which the owners' loops stall for up to seconds.
    double delayedCommands { 0 }; ///< Share of the commands that wait for up to seconds before they are sent.
    double flapsPerSecond { 0 }; ///< Workers that go down and up under the same id in quick succession.
    double staleListEntries { 0 }; ///< Share of the crashes after which the ended incarnation stays listed for a while.
    double rackCrashesPerSecond { 0 }; ///< Racks of which all workers crash within half a second and restart.
    double delayedPolls { 0 }; ///< Share of the polls that get no response and are carried out seconds later.
    /// Workers close each connection after one response, so that no lease is bound to an incarnation.
    bool areConnectionsClosed { false };
    double shrinksPerSecond { 0 }; ///< Workers whose capacity is smaller for some seconds while they run.
    bool isCapacityUnenforced { false }; ///< Workers start whatever they are told to start.
    /// Share of the crashes that end no connection and close no port, as when a machine loses power.
    double silentCrashes { 0 };
    double renamedAfterTaskCrash { 0.15 }; ///< Share of the workers crashed by a task that return under a new id.
    Duration longestInitialClock {}; ///< Of new incarnations, in place of 1 s.
    Duration longestExecutionDelay {}; ///< Of commands carried out late, from 0 s on, in place of 2 to 12 s.
    /// Commands carried out late wait on their way to the worker. A later incarnation receives those whose connection
    /// was not made to an earlier one.
    bool areLateCommandsHeldOnTheWay { false };
    Duration longestClockError {}; ///< Of the nodes' wall clocks, ahead or behind.
    Duration longestResponseDelay {}; ///< Responses to different commands overtake each other.
    /// Entries of another writer that are listed for some seconds: an id of their own, the machine of a worker, and a
    /// start before or after that worker's. Nothing responds under the id.
    double foreignEntriesPerSecond { 0 };
    double entryLapsesPerSecond { 0 }; ///< Times at which the entries of half the workers are missing for up to 2 s.
};

class CellSimulation {
public:
    /// `longestLease`: workers shorten longer leases to this.
    CellSimulation(
        std::uint64_t seed, int workers, const FaultRates& faults, Duration longestLease = defaultLongestLease);

    /// Submits a job, which counts as accepted once it is stored.
    void submit(const Job& job, const std::vector<TaskBehavior>& behaviorOfSteps);
    void cancel(const JobId& job);

    /// `count` workers are lost for good within `period`. Each stays listed until its heartbeats have been missing for
    /// some seconds; a new worker on a new machine is listed about as late.
    void loseWorkers(std::size_t count, Duration period);

    /// The owner is lost without notice, together with its node; another one takes over.
    void loseOwner() { dropOwner(); }

    /// The processes of all nodes are killed and start again. The node that takes over has received no announcement of
    /// an earlier owner; it soon receives that of the process that has replaced the last one.
    void restartNodes();

    /// Advances virtual time by `time`.
    void run(Duration time);

    /// Injects no more faults from now on. Workers go on to behave as they do, also when a task crashes them.
    void stopFaults()
    {
        m_faults = { .areConnectionsClosed = m_faults.areConnectionsClosed,
            .silentCrashes = m_faults.silentCrashes,
            .renamedAfterTaskCrash = m_faults.renamedAfterTaskCrash };
    }

    /// Violations that the oracle has found.
    const std::vector<std::string>& violations() const { return m_violations; }
    std::optional<JobState> shownState(const JobId& job) const
    {
        return presentOwner() ? presentOwner()->cell->state(job) : std::nullopt;
    }
    bool isAccepted(const JobId& job) const { return m_accepted.contains(job); }
    int starts() const { return m_starts; }
    int ownerChanges() const { return m_ownerNumber - 1; }
    int stopsOfActiveRuns() const { return m_oracle.stopsOfActiveRuns(); }

    /// Sets a function that is called with every event of every owner, to trace a walk.
    void setObserver(std::function<void(TimePoint now, int owner, const CellEvent& event)> observer)
    {
        m_observer = std::move(observer);
    }
    TimePoint now() const { return m_now; }
    int runningOf(const JobId& job) const;

    /// Long-running tasks of accepted jobs that do not run although 6 s have passed since their last run and 7 s since
    /// the last worker was lost, each with these times.
    std::vector<std::string> overdueLongRunningTasks() const;

    /// Tasks of accepted jobs that have nothing running, although the task could run, running workers have room for it
    /// twice over, and less than half of these workers' capacity is in use. Jobs with a task that crashes its workers
    /// are left out.
    std::vector<TaskRef> waitingTasksWithRoom() const;

    /// Failed runs, as far as workers have listed them, of the job's task that failed most often.
    int highestFailureCount(const JobId& job) const;

    /// Workers that have crashed under a task that crashes them, of the job's task with most.
    int highestCrashCount(const JobId& job) const { return m_oracle.highestCrashCount(job); }

    /// Starts on workers, without those of tasks that crash their workers.
    const StartSurvival& startSurvival() const { return m_startSurvival; }

    /// Accepted jobs that are not shown as ended, each with the number of its running tasks.
    std::string describeUnfinishedJobs() const;

    std::vector<ModelWorker>& workers() { return m_workers; }

private:
    struct ScheduledEvent {
        TimePoint at;
        std::uint64_t sequence { 0 };
        std::function<void()> work;
    };
    struct IsLater {
        bool operator()(const ScheduledEvent& left, const ScheduledEvent& right) const
        {
            return std::pair { left.at, left.sequence } > std::pair { right.at, right.sequence };
        }
    };

    struct Owner {
        std::unique_ptr<Cell> cell;
        Fence term { 0 };
        bool isCommitting { false };
        bool isReplaced { false };
        bool isHandingBack { false };
        bool mayBeHandedBack { false }; ///< Its last row is in flight or written.
        bool isListReadInFlight { false };
        TimePoint lastCommit {};
        TimePoint confirmedAt {}; ///< When the last transaction that succeeded was sent.
        TimePoint listRequestedAt {};
        TimePoint stalledUntil {};
        /// What its node has recorded of earlier owners since it was restarted; null: the node knows when each of them
        /// has ended.
        std::unique_ptr<Ownership> ownership;
        std::deque<std::function<void()>> inbox; ///< Calls that have arrived while its loop is stalled.
        std::map<WorkerId, TimePoint> sentUpTo; ///< Commands to one worker are sent in order.
    };
    struct StaleEntry {
        WorkerDescription description;
        TimePoint until;
    };
    /// The latest crash of a worker under its id.
    struct Crash {
        std::size_t index { 0 }; ///< In `m_workers`, where the worker that returns may have another id.
        MachineId machine;
        TimePoint at;
        bool isSilent { false };
    };
    /// A command that has been sent to a worker and has no result yet.
    struct OpenExchange {
        int owner { 0 };
        WorkerId worker;
        TimePoint sentAt;
        std::function<void(CommandStatus status, bool isConnectionEnded)> fail;
    };
    using ExchangeNumber = std::uint64_t;
    /// A poll that waits at the worker for ended runs.
    struct WaitingPoll {
        PollCommand command;
        int owner { 0 };
        TimePoint deadline;
        ExchangeNumber exchange { 0 };
        std::function<void(const PollResult& result)> deliver;
    };

    struct GangMember {
        std::size_t worker { 0 }; ///< Index in `m_workers`.
        TaskRef task;
    };
    struct GangState {
        TimePoint since; ///< When its first member was running.
        TimePoint endsAt {}; ///< Once all members have been running together.
    };

    bool happens(double probability);
    Duration randomBetween(Duration least, Duration most);
    void schedule(Duration delay, std::function<void()> work);
    Duration randomError(Duration longest);
    std::int64_t unixMs(int owner) const; ///< By the wall clock of the owner's node.
    Duration responseDelay();
    void restartWorker(std::size_t worker);

    void tick();
    void injectFaults(Duration period);
    void injectFaultsAtRunEnd(const WorkerId& worker);
    void crashWorker(std::size_t worker);
    void crashRack(const std::string& rack);
    void crashUnder(const ModelWorker& worker, const StartCommand& command);
    void restartLater(std::size_t worker, Duration after, double renamedShare);
    void takeDown(std::size_t worker, bool isByTask = false);
    void recordCrash(std::size_t worker, bool isSilent);
    void replaceWorker(std::size_t worker);
    void flapWorker(std::size_t worker, int count);
    void stallOwners();
    void drainWorker(std::size_t worker);
    void drainMachine(const MachineId& machine);
    void shrinkWorker(std::size_t worker);
    void setCapacity(std::size_t worker, const ResourceSize& capacity);
    void partition(const WorkerId& worker, Duration least, Duration most);
    void cutOwnerLinks(const WorkerId& worker);
    void dropOwner();
    void handBack();
    void finishHandBack(int owner);
    void takeOver();
    void observeRestarts();
    void listWorkers(int owner, bool mayTakeLong);
    std::vector<WorkerDescription> listedEntries();
    void addForeignEntry(std::size_t worker);
    void lapseEntries();
    Authority authorityOf(const Owner& owner) const;
    TimePoint latestGrantBefore(int owner) const;
    TimePoint latestObservedGrantBefore(const Owner& owner, int number) const;
    NodeId startProcess(int node);
    void endOwner(int owner);
    void runPass(int owner);

    /// Runs `work` on the owner's loop, if the owner still exists then.
    void runOnLoop(int owner, std::function<void(Owner&)> work);
    void processInbox(int owner);
    TimePoint sendTime(int owner, const WorkerId& worker);
    void processOutput(const CellOutput& output, int owner);
    void commit(int owner);
    void write(const std::optional<CellCommit>& commit, const WorkerMachines& workers, int owner);
    Owner* findOwner(int number);
    const Owner* presentOwner() const;
    void dispatch(const WorkerCommand& command, int owner);
    template <typename CommandType> void sendInOrder(const CommandType& command, int owner);
    template <typename CommandType> void expire(const CommandType& command, int owner);
    template <typename CommandType>
    void send(const CommandType& command, int owner, const CommandExecution& execution, bool isResponseLost);
    template <typename CommandType> bool isResponseCutOff(const CommandType& command, const CommandResult& result);
    template <typename CommandType>
    void executeLate(const CommandType& command, std::int64_t incarnationUnixMs, const CommandExecution& execution);
    Duration executionDelay();
    ModelWorker* findLateReceiver(const WorkerId& id, std::int64_t incarnationUnixMs);
    CommandResult execute(ModelWorker& worker, const StartCommand& command, const CommandExecution& execution);
    CommandResult execute(ModelWorker& worker, const StopCommand& command, const CommandExecution& execution);
    CommandResult execute(ModelWorker&, const ThrottleCommand&, const CommandExecution&)
    {
        return { CommandStatus::Done, RefusalReason::None, 0 };
    }
    void poll(const PollCommand& command, int owner);
    void pollLate(const PollCommand& command, std::int64_t incarnationUnixMs);
    void sendPoll(const PollCommand& command, int owner);
    void finishPoll(WaitingPoll waiting);
    ExchangeNumber openExchange(
        int owner, const WorkerId& worker, std::function<void(CommandStatus status, bool isConnectionEnded)> fail);
    void failExchange(ExchangeNumber exchange, CommandStatus status, bool isConnectionEnded = false);
    void failExchangeLater(ExchangeNumber exchange, CommandStatus status, Duration after);
    void failUnreachable(ExchangeNumber exchange);
    void endConnections(const WorkerId& worker);
    ModelWorker* find(const WorkerId& id);
    bool isPartitioned(const WorkerId& id) const;
    LinkState linkState(int owner, const WorkerId& worker) const;
    const TaskBehavior& behaviorOf(const TaskRef& task) const;
    bool mayRun(const Job& job, int step) const;
    bool isHalfOfCapacityInUse() const;
    int roomFor(const ResourceSize& size) const;
    bool crashesWorkers(const TaskRef& task) const { return behaviorOf(task).crashingTask == task.index; }
    void checkStartAfterDone(const StartCommand& command, const CommandExecution& execution);
    void checkStart(const ModelWorker& worker, const StartCommand& command, const CommandExecution& execution);
    bool isGangMember(const TaskRef& task) const;
    void advanceGangs();
    void advanceGang(const TaskRef& gang, const std::vector<GangMember>& members);
    void endGang(const TaskRef& gang, const std::vector<GangMember>& members, RunOutcome outcome);
    void processWorkerEvents(ModelWorker& worker);
    void recordEndedRuns(const PollReport& report);
    void recordStoredProgress(const JobId& job, const std::string& progress);
    void addViolation(const std::string& what);

    std::mt19937_64 m_random;
    FaultRates m_faults;
    Duration m_longestLease;
    TimePoint m_lastWorkerLostAt {};
    const bool m_isCapacityUnenforced;
    TimePoint m_now { std::chrono::seconds { 1000 } };
    std::uint64_t m_sequence { 0 };
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, IsLater> m_events;

    std::vector<ModelWorker> m_workers;
    std::map<WorkerId, TimePoint> m_partitionedUntil;
    OwnerLinks m_ownerLinks;
    std::vector<StaleEntry> m_staleEntries;
    std::vector<StaleEntry> m_foreignEntries;
    std::map<WorkerId, TimePoint> m_lapsedUntil; ///< Until then the worker's entry is missing.
    int m_incarnations { 0 };
    bool m_hasGangs { false }; ///< Whether any submitted job has a gang.
    std::map<TaskRef, GangState> m_gangs; ///< By the first task of each.
    std::map<WorkerId, Crash> m_crashes;
    std::map<ExchangeNumber, OpenExchange> m_openExchanges;
    ExchangeNumber m_lastExchange { 0 };

    /// The present owner, and earlier ones that have not noticed that they are replaced.
    std::map<int, Owner> m_owners;
    int m_ownerNumber { 0 }; ///< Number of the present owner; results for owners that no longer exist are dropped.
    std::map<int, TimePoint> m_takenOverAt; ///< By the number of the owner.
    std::map<int, TimePoint> m_ownerEndedAt; ///< When the owner's process ended, as the next ones know at once.
    std::map<int, NodeId> m_processes; ///< The latest process of the node of each owner.
    std::map<int, Duration> m_clockErrors; ///< Of the node of each owner.
    bool m_areNodesRestarting { false }; ///< The next owner's node has been restarted.
    std::set<MachineId> m_drainingMachines;
    TimePoint m_storeStalledUntil {};
    std::function<void(TimePoint, int, const CellEvent&)> m_observer;
    CallerToken m_lastToken { 0 };
    std::map<CallerToken, JobId> m_submissions;

    // The cell's part of the store.
    std::map<JobId, std::string> m_jobRows;
    std::map<JobId, std::string> m_progressRows;
    WorkerMachines m_workerRow;
    OutstandingLeases m_outstandingLeasesRow;
    Duration m_earlierGrantsLeftRow {};
    Fence m_term { 0 };

    // The oracle.
    RuleOracle m_oracle { maxAttempts };
    StartSurvival m_startSurvival;
    std::map<JobId, Job> m_jobs;
    std::map<JobId, std::vector<TaskBehavior>> m_behaviors;
    std::map<JobId, TimePoint> m_accepted;
    std::map<JobId, TimePoint> m_cancelled; ///< When the cancellation was stored.
    std::map<CallerToken, JobId> m_cancels;
    std::map<TaskRef, std::set<RunNumber>> m_failed;
    std::map<TaskRef, bool> m_done; ///< Whether any worker has listed it as done.
    std::map<TaskRef, TimePoint> m_doneStoredAt;
    std::vector<std::string> m_violations;
    int m_starts { 0 };
};

} // namespace rattanrack::jobs::model
