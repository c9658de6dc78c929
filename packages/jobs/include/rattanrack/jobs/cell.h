#pragma once

#include "rattanrack/jobs/cell_event.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/job_progress.h"
#include "rattanrack/jobs/maintenance_scheduler.h"
#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::jobs {

struct CellSettings {
    PoolId pool;
    Fence fence { 0 }; ///< Term of this owner.
    Duration leaseLength {}; ///< Of what runs, from each look on.
    Duration inheritedLease {}; ///< From the takeover on, what an earlier owner granted may hold this long.
    Duration keepEnded {}; ///< Jobs are remembered this long after their end.
    Duration longestStop {}; ///< A run that has been told to stop is listed as running this long at most.
    Duration longestLease {}; ///< Workers shorten leases that are longer.
};

/// A row to store in the cell's part, or to remove.
struct CellRow {
    enum class Kind : std::uint8_t { Job, Progress };
    Kind kind { Kind::Job };
    JobId job;
    std::optional<std::string> value; ///< Empty: removed.
};

/// Rows that are stored together.
struct CellCommit {
    std::vector<CellRow> rows;
};

/// A job as it was read from the store.
struct StoredJob {
    Job job;
    StoredProgress progress;
};

using WorkerMachines = std::map<WorkerId, MachineId>;

/// How long at most what an owner has granted holds on each worker, from the moment on at which it grants nothing more.
using OutstandingLeases = std::map<WorkerId, Duration>;

using CallerToken = std::uint64_t; ///< Names a caller's request that waits for a commit.

struct CallerReply {
    CallerToken token { 0 };
    bool isStored { false }; ///< False: proved that it is not stored and will not be.
};

/// Asks the advice service which workers may run a step.
struct AdviceRequest {
    TaskRef step; ///< Its index says nothing.
    std::vector<WorkerId> workers;
};

struct AdviceTicket {
    WorkerId worker;
    std::string ticket;
};

struct AdviceResponse {
    TaskRef step;
    bool isAnswered { false }; ///< False: busy or out of reach; ask again later.
    std::vector<AdviceTicket> tickets;
    Duration validFor {};
};

struct CellOutput {
    std::vector<WorkerCommand> commands;
    std::vector<CallerReply> replies;
    std::vector<AdviceRequest> adviceRequests;
    std::vector<CellEvent> events;
};

/// What an owner may do by the age of what it knows.
enum class Authority : std::uint8_t {
    Full,
    /// Keeps up what runs, and begins or ends nothing: gives the cell up, or does not know which workers leave.
    RenewOnly,
    Unconfirmed, ///< May have been replaced: leaves leases as they are, too.
};

enum class Acceptance : std::uint8_t {
    Stored, ///< Known already, and stored.
    Pending, ///< A reply with the token follows.
    Refused, ///< Will not be stored.
};

/// What decisions have gone through so far. It has to grow with what starts and ends, not with that times the size of
/// the cell.
struct SchedulingCost {
    std::uint64_t jobsExamined { 0 }; ///< Jobs looked at for steps that could run.
    std::uint64_t workersExamined { 0 }; ///< Workers looked at for a place.
    std::uint64_t runsExamined { 0 }; ///< Runs looked at, as neighbours or to be stopped.
};

struct CellState;

/// The jobs and workers of one pool, in the hands of the node that owns it: decides what runs where, and what is
/// stored before anybody is told. Pure: no I/O, no clock. Not thread-safe.
///
/// Invariants: a subtask has at most one run that may still be going on, unless its step allows copies; no start before
/// the steps that it comes after are done; a worker's end is acknowledged only when it is stored; a job is shown as
/// ended only when that is stored.
class Cell {
public:
    /// `held`: of the earlier owner, if it has handed the cell back.
    Cell(CellSettings settings, std::vector<StoredJob> jobs, WorkerMachines workersOfEarlierOwners, TimePoint now,
        std::int64_t unixMs, const OutstandingLeases& held = {});
    ~Cell();
    Cell(Cell&&) noexcept;
    Cell& operator=(Cell&&) noexcept;

    /// What the configuration in force says of this cell's queues. Queues that are no longer named keep their settings.
    void configure(const std::vector<QueueSettings>& queues);

    /// All workers of the pool that the store listed when it was asked at `askedAt`.
    void setWorkers(const std::vector<WorkerDescription>& workers, TimePoint askedAt, TimePoint now);

    /// Machines that get nothing new and are emptied.
    void setDrainingMachines(std::set<MachineId> machines);

    /// Machines among the closing ones on which nothing runs, and whose ends are all stored.
    std::vector<MachineId> drainedMachines() const;

    /// Machines on which nothing runs but work that soon ends by itself, if anything.
    std::vector<MachineId> movableMachines() const;

    /// Workers that are listed, or on which something may run.
    WorkerMachines knownWorkers() const;

    /// Every worker on which something of this cell may run or may be started soon, or has ended and is not stored.
    /// The next owner waits for those that it can't reach, so that silent ones without any of it are left out.
    WorkerMachines workersInUse() const;

    /// Of all workers in use, if nothing is granted from `now` on.
    OutstandingLeases outstandingLeases(TimePoint now) const;

    /// The list is on its way to the store; from now on only workers that are in it and in the one stored before are
    /// used. Once it is stored, those in it are.
    void onWorkerListSent(const WorkerMachines& workers, TimePoint now);
    void onWorkerListStored(WorkerMachines workers);

    Acceptance submit(const Job& job, CallerToken token, TimePoint now);

    /// Cancels a job. Empty: there is no such job.
    std::optional<Acceptance> cancel(const JobId& job, CallerToken token, std::int64_t unixMs);

    /// What callers may be shown. Empty: there is no such job.
    std::optional<JobState> state(const JobId& job) const;

    /// Accepted jobs of the queue of which nothing has started.
    int unstartedJobs(const QueueId& queue) const;

    /// How full the pool is, and how much more is wanted.
    CellLoad load(TimePoint now) const;

    /// Jobs that have not ended.
    std::size_t unfinishedJobs() const;

    /// Starts and stops that have no answer yet.
    std::size_t commandsInFlight() const;

    /// Since this owner took over.
    SchedulingCost schedulingCost() const;

    /// Starts that may be on their way at once.
    int startLimit() const;

    void onResult(const StartCommand& order, const CommandResult& answer, TimePoint now);
    void onResult(const StopCommand& order, const CommandResult& answer, TimePoint now);
    void onResult(const ThrottleCommand& order, const CommandResult& answer, TimePoint now);
    void onResult(const PollCommand& order, const PollResult& answer, TimePoint sentAt, TimePoint now);
    void onAdvice(const AdviceResponse& answer, TimePoint now);

    /// Somebody waits for the next commit.
    bool hasUrgentCommit() const;

    /// A worker is used only once a transaction that was sent since its birth has succeeded, and after a refusal for a
    /// higher fence nothing is decided until one tells who owns the cell.
    bool needsConfirmation() const;

    /// Something is to be stored that is in no commit yet.
    bool hasUncommittedChanges() const;

    /// What is to be stored next; empty when nothing is, or the last commit is still on its way.
    std::optional<CellCommit> takeCommit(std::int64_t unixMs);

    /// The commit has been stored.
    void onCommitted(std::int64_t unixMs);

    /// The commit has not been stored and will not be. What was in it is taken again.
    void onCommitFailed();

    /// New jobs that are in no commit are given up: proved not to be stored.
    void rejectUncommittedJobs();

    /// Decides what runs next, as far as `authority` allows, and hands out all that has come up since.
    CellOutput advance(TimePoint now, std::int64_t unixMs, Authority authority);

    /// What has come up since, without any decision.
    CellOutput takeOutput();

private:
    std::unique_ptr<CellState> m_state;
};

} // namespace rattanrack::jobs
