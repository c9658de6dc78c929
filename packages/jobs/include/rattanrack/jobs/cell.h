#pragma once

#include "rattanrack/jobs/cell_event.h"
#include "rattanrack/jobs/customer_use.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/job_progress.h"
#include "rattanrack/jobs/machine.h"
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
    Duration leaseLength {}; ///< Length of the leases that polls grant.
    Duration inheritedLease {}; ///< Leases of previous owners may last this long after a takeover.
    Duration keepEnded {}; ///< Retention time of ended jobs.
    Duration longestStop {}; ///< A run may be listed as running for this long after its stop command.
    Duration longestLease {}; ///< Workers shorten longer leases to this length.
};

/// A row to write to the cell's part, or to remove from it.
struct CellRow {
    enum class Kind : std::uint8_t { Job, Progress };
    Kind kind { Kind::Job };
    JobId job;
    std::optional<std::string> value; ///< Empty: the row is removed.
};

/// Rows that are written by one transaction.
struct CellCommit {
    std::vector<CellRow> rows;
};

/// A job as read from the store.
struct StoredJob {
    Job job;
    StoredProgress progress;
};

using WorkerMachines = std::map<WorkerId, MachineId>;

/// For each worker, the longest time for which leases of an owner may still last once the owner grants no more.
using OutstandingLeases = std::map<WorkerId, Duration>;

using CallerToken = std::uint64_t; ///< Identifies a caller's request that waits for a commit.

struct CallerReply {
    CallerToken token { 0 };
    bool isStored { false }; ///< False: known not to be stored, now or later.
    Duration retryAfter {}; ///< When a job that is refused could be served; 0: not known.
};

/// Requests from the advice service which workers may run a step.
struct AdviceRequest {
    TaskRef step; ///< The index of the task is not used.
    std::vector<WorkerId> workers;
};

struct AdviceTicket {
    WorkerId worker;
    std::string ticket;
};

struct AdviceResponse {
    TaskRef step;
    bool isAnswered { false }; ///< False: the service was busy or unreachable; retry later.
    std::vector<AdviceTicket> tickets;
    Duration validFor {};
};

struct CellOutput {
    std::vector<WorkerCommand> commands;
    std::vector<CallerReply> replies;
    std::vector<AdviceRequest> adviceRequests;
    std::vector<CellEvent> events;
};

/// What an owner may do, given the age of its information.
enum class Authority : std::uint8_t {
    Full,
    /// Renews leases but starts and stops nothing: the cell is being handed back, or the list of workers is too old to
    /// show which of them are draining.
    RenewOnly,
    Unconfirmed, ///< The owner may have been replaced: it doesn't renew leases either.
};

enum class Acceptance : std::uint8_t {
    Stored, ///< The request is known and stored.
    Pending, ///< A reply with the token follows.
    Refused, ///< The request will not be stored.
};

/// Work that scheduling passes have done so far. It must grow with the number of starts and ended runs, not with that
/// number times the size of the cell.
struct SchedulingCost {
    std::uint64_t jobsExamined { 0 }; ///< Jobs examined for steps that are ready to run.
    std::uint64_t workersExamined { 0 }; ///< Workers examined as candidates for a task.
    std::uint64_t runsExamined { 0 }; ///< Runs examined as colocated runs, or to stop them.
};

struct CellState;

/// An owner announces machines as drained for this long after its latest transaction that has succeeded was sent.
constexpr Duration drainedMachinesTimeout = std::chrono::seconds { 2 };

/// The jobs and workers of one pool, managed by the node that owns the cell. Decides which worker runs which task, and
/// what must be stored before callers and workers are informed. Pure: no I/O, no clock. Not thread-safe.
///
/// Invariants: a task has at most one run that may still be active, unless its step allows speculative runs; a task
/// starts only after all steps that its step depends on are done; an ended run is acknowledged to its worker only once
/// it is stored; a job is shown as ended only once that state is stored.
class Cell {
public:
    /// `leasesAtHandBack`: outstanding leases of the previous owner, if it handed the cell back.
    Cell(CellSettings settings, std::vector<StoredJob> jobs, WorkerMachines inheritedWorkers, TimePoint now,
        std::int64_t unixMs, const OutstandingLeases& leasesAtHandBack = {});
    ~Cell();
    Cell(Cell&&) noexcept;
    Cell& operator=(Cell&&) noexcept;

    /// Applies the queue settings of the configuration in force. Queues that it no longer contains keep their settings.
    /// `customers`: all that are configured. Nothing of a customer starts before the first call.
    void configure(const std::vector<QueueSettings>& queues, const std::vector<Customer>& customers = {});

    /// Customers with a quota, and what they use here, ascending by name.
    std::vector<CustomerUse> customerUse() const;

    /// Sets what the customer's tasks may use in this cell, if it has a quota; nothing until the first call.
    void setCustomerLimit(const CustomerId& customer, const CustomerLimit& limit);

    /// Capacity of the workers of previous owners that have not been contacted: a bound of what runs there.
    /// `unlimitedSize` where there is none.
    ResourceSize uncontactedCapacity() const;

    /// Whether the job belongs to a configured customer that is not `customer`. An empty one may use the jobs of
    /// `queue`, whose route needs no key.
    bool isOfOtherCustomer(const JobId& job, const CustomerId& customer, const QueueAddress& queue) const;

    /// Sets the workers of all pools, as listed by the store; those of other pools show which machines have left this
    /// one. `requestedAt`: when the list was requested.
    void setWorkers(const std::vector<WorkerDescription>& workers, TimePoint requestedAt, TimePoint now);

    /// Whether some worker of previous owners may still run tasks that this owner has not found.
    bool isRecovering() const;

    /// Number of those workers.
    std::size_t workersWaitedFor() const;

    /// Leases of previous owners have ended by `latestEnd`. Without effect if the previous owner handed the cell back,
    /// which tells more.
    void limitInheritedLeases(TimePoint latestEnd);

    /// Sets the machines to drain: nothing new starts on them, and their long-running tasks are stopped as far as
    /// `Step::maxUnavailable` permits.
    void setDrainingMachines(std::set<MachineId> machines);

    /// Draining machines without runs, all of whose ended runs are stored, and which the store has as drained: the next
    /// owner starts nothing there as long as commands to them may still arrive.
    DrainedMachines drainedMachines() const;

    /// Machines to be stored as drained with the next transaction: those that meet the other conditions of
    /// `drainedMachines`, and those that earlier owners may have announced and that may still be taken down.
    std::set<MachineId> drainedMachinesToStore(TimePoint now) const;

    /// Machines that earlier owners may have announced as drained. Nothing starts on them until commands that rest on
    /// these announcements can no longer arrive.
    void setMachinesDrainedByEarlierOwners(std::set<MachineId> machines, TimePoint now);

    /// As `onWorkerListSent` and `onWorkerListStored`, of the machines that are stored as drained.
    void onDrainedMachinesSent(const std::set<MachineId>& machines);
    void onDrainedMachinesStored(std::set<MachineId> machines);

    /// Machines without long-running tasks; what runs there, if anything, ends by itself soon.
    std::vector<MachineId> movableMachines() const;

    /// Workers that are listed, or on which something may run.
    WorkerMachines knownWorkers() const;

    /// Workers on which something of this cell may run or may soon be started, or that have ended runs that are not
    /// stored. The next owner waits for each of these that it can't contact, so workers that have not responded and to
    /// which none of this applies are left out. So are workers beyond what a row of the store holds.
    WorkerMachines workersInUse() const;

    /// Number of workers that respond and are not used, since the owner's row has no room for them.
    std::size_t workersWithoutRoom() const;

    /// Outstanding leases of all workers in use, without `takeoverSlack`, which the next owner adds, provided that
    /// nothing is granted from `now` on.
    OutstandingLeases outstandingLeases(TimePoint now) const;

    /// The list of workers has been sent to the store. From now on only workers that are both in this list and in the
    /// one stored before are used; once this list is stored, all workers in it are.
    void onWorkerListSent(const WorkerMachines& workers, TimePoint now);
    void onWorkerListStored(WorkerMachines workers);

    /// Accepts a job, or refuses it because it would be worth nothing once it is served: after `Pending`, the reply
    /// says which.
    Acceptance submit(const Job& job, CallerToken token, TimePoint now);

    /// Whether callers wait for a transaction, of any content, to learn that their jobs are refused.
    bool hasUnconfirmedRefusals() const;

    /// Cancels a job. Empty: the job does not exist.
    std::optional<Acceptance> cancel(const JobId& job, CallerToken token, std::int64_t unixMs);

    /// Whether the cell has a job of the queue, ended or not.
    bool hasJobs(const QueueAddress& queue) const;

    /// The queues of the jobs whose rows name no address, as those that an earlier release has written.
    std::set<QueueId> queuesOfJobsWithoutAddress() const;

    /// Whether a job of the queue is in no transaction that has succeeded.
    bool hasUnstoredJobs(const QueueAddress& queue) const;

    /// The state that callers may be shown. Empty: the job does not exist.
    std::optional<JobState> state(const JobId& job) const;

    /// Number of accepted jobs of the queue of which no task has started.
    int unstartedJobs(const QueueId& queue) const;

    /// How much of the pool is in use, and how much more is wanted.
    CellLoad load(TimePoint now) const;

    /// Number of jobs that have not ended.
    std::size_t unfinishedJobs() const;

    /// Number of starts and stops without a result.
    std::size_t commandsInFlight() const;

    /// Cost since this owner took the cell over.
    SchedulingCost schedulingCost() const;

    /// Number of starts that may be in flight at once.
    int startLimit() const;

    void onResult(const StartCommand& command, const CommandResult& result, TimePoint now);
    void onResult(const StopCommand& command, const CommandResult& result, TimePoint now);
    void onResult(const ThrottleCommand& command, const CommandResult& result, TimePoint now);
    void onResult(const PollCommand& command, const PollResult& result, TimePoint sentAt, TimePoint now);
    void onAdvice(const AdviceResponse& response, TimePoint now);

    /// Whether somebody waits for the next commit.
    bool hasUrgentCommit() const;

    /// Whether a transaction must confirm that this node owns the cell. A worker is used only once a transaction that
    /// was sent after the start of its incarnation has succeeded. After a worker has refused a command because of a
    /// higher fence, nothing is decided until a transaction shows who owns the cell.
    bool needsConfirmation() const;

    /// Whether there are changes to store that are in no commit yet.
    bool hasUncommittedChanges() const;

    /// Returns what is to be stored next; empty when there is nothing, or while the last commit is in flight.
    std::optional<CellCommit> takeCommit(std::int64_t unixMs);

    /// The commit has been stored.
    void onCommitted(std::int64_t unixMs);

    /// The commit has not been stored and will not be. Its changes become part of the next commit.
    void onCommitFailed();

    /// The store will never take the commit. Its changes are divided among smaller commits until the job whose rows are
    /// the cause is found: no change of that job is stored as long as its rows are no smaller.
    void onCommitRejected();

    /// Drops new jobs that are in no commit, and replies to their callers that they are not stored.
    void rejectUncommittedJobs();

    /// Makes the decisions that `authority` permits, and returns all output since the last call.
    CellOutput advance(TimePoint now, std::int64_t unixMs, Authority authority);

    /// Returns the output since the last call, without making decisions.
    CellOutput takeOutput();

private:
    std::unique_ptr<CellState> m_state;
};

} // namespace rattanrack::jobs
