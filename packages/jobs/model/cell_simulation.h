#pragma once

#include "model_worker.h"
#include "rattanrack/jobs/cell.h"
#include "rule_oracle.h"

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

/// One cell, its workers and its part of the store in virtual time, with an oracle of what must always hold that knows
/// only what workers and callers see.
namespace rattanrack::jobs::model {

constexpr int attempts = 3; ///< Of each subtask.
constexpr Duration longestStop
    = std::chrono::milliseconds { 900 }; ///< A run that is being stopped is listed that long.

struct FaultRates {
    double lostOrders { 0 }; ///< Share of the orders that get no answer and are carried out seconds later.
    double lostAnswers { 0 }; ///< Share of the orders that are carried out at once and get no answer.
    double failedRuns { 0 }; ///< Share of the runs that end as failed.
    double crashesPerSecond { 0 }; ///< Of workers; they rise again after seconds, half of them under a new id.
    double cutsPerSecond { 0 }; ///< Workers that can't be reached for seconds, and run on.
    double takeoversPerSecond { 0 }; ///< The owner is gone at once; another one follows.
    double failedCommits { 0 }; ///< Share of the transactions that the store refuses.
    double slowStops { 0 }; ///< Share of the stops after which a run is listed as running for up to the longest time.
    double drainsPerSecond { 0 }; ///< Workers that say so in the list, and leave seconds later.
    double closingsPerSecond { 0 }; ///< Machines that are to be emptied for some seconds.
    double handBacksPerSecond { 0 }; ///< Planned changes of owner.
    double cutsAtEnds { 0 }; ///< Share of the runs' own ends at or just after which their worker is cut off.
    double ownerChangesInCuts { 0 }; ///< Share of those cuts soon after whose beginning the owner changes.
    double shortLists { 0 }; ///< Share of the looks that list one end at most.
    double storeStallsPerSecond { 0 }; ///< Times in which transactions take up to seconds.
    double parallelOwners { 0 }; ///< Share of the owners lost that go on beside the next one, without the store.
    double staleLists { 0 }; ///< Share of the reads of the list of workers that take seconds.
    double lateSteps { 0 }; ///< Times a second at which an owner's loop stands still for up to seconds.
    double slowOrders { 0 }; ///< Share of the orders that wait for up to seconds before they are sent.
    double flapsPerSecond { 0 }; ///< Of workers: down and up under their id in quick succession.
    double staleEntries { 0 }; ///< Share of the crashes after which the life that is over stays listed for a while.
    double heldUpLooks { 0 }; ///< Share of the looks that get no answer and are carried out seconds later.
};

class CellSimulation {
public:
    CellSimulation(std::uint64_t seed, int workers, const FaultRates& faults);

    /// Hands in a job; counted as accepted once it is stored.
    void submit(const Job& job, const std::vector<TaskBehavior>& workOfSteps);
    void cancel(const JobId& job);

    /// Lets virtual time pass.
    void run(Duration time);

    /// From now on nothing goes wrong any more.
    void calm() { m_faults = {}; }

    /// What the oracle has seen that must not be; empty when all is well.
    const std::vector<std::string>& violations() const { return m_violations; }
    std::optional<JobState> shown(const JobId& job) const
    {
        return present() ? present()->cell->state(job) : std::nullopt;
    }
    bool isAccepted(const JobId& job) const { return m_accepted.contains(job); }
    int starts() const { return m_starts; }
    int ownerChanges() const { return m_owner - 1; }
    int stopsAtWork() const { return m_oracle.stopsAtWork(); }

    /// Is told of all that the owners decide, to trace a walk.
    void watch(std::function<void(TimePoint now, int owner, const CellEvent& event)> watcher)
    {
        m_watcher = std::move(watcher);
    }
    TimePoint now() const { return m_now; }
    int runningOf(const JobId& job) const;

    /// Failed runs of that subtask of the job which failed most often, as far as its workers have listed them.
    int mostFailures(const JobId& job) const;

    /// Jobs that were accepted and are not shown as ended, with what they wait for.
    std::string unfinishedJobs() const;

    std::vector<ModelWorker>& workers() { return m_workers; }

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence { 0 };
        std::function<void()> work;
    };
    struct Later {
        bool operator()(const Event& left, const Event& right) const
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
        bool mayBeHandedBack { false }; ///< Its last row is on its way, or written.
        bool isListOnItsWay { false };
        TimePoint lastCommit {};
        TimePoint confirmedAt {}; ///< When its last transaction succeeded.
        TimePoint listRequestedAt {};
        TimePoint stalledUntil {};
        std::deque<std::function<void()>> inbox; ///< What has arrived while its loop stands still.
        std::map<WorkerId, TimePoint> sentUpTo; ///< Orders to a worker are sent one after the other.
    };
    struct Ghost {
        WorkerDescription description;
        TimePoint until;
    };

    bool happens(double probability);
    Duration between(Duration least, Duration most);
    void after(Duration delay, std::function<void()> work);
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }

    void tick();
    void misfortune(Duration period);
    void misfortuneAtEnd(const WorkerId& worker);
    void crash(std::size_t worker);
    void down(std::size_t worker);
    void flap(std::size_t worker, int times);
    void stall();
    void drain(std::size_t worker);
    void close(const MachineId& machine);
    void cut(const WorkerId& worker, Duration least, Duration most);
    void loseOwner();
    void handBack();
    void finishHandBack(int owner);
    void takeOver();
    void listWorkers(int owner, bool mayTakeLong);
    Authority authorityOf(const Owner& owner) const;
    void pump(int owner);

    /// Runs `work` on the owner's loop, if there is still such an owner.
    void onLoop(int owner, std::function<void(Owner&)> work);
    void drainInbox(int owner);
    TimePoint sendAt(int owner, const WorkerId& worker);
    void take(const CellOutput& output, int owner);
    void commit(int owner);
    void write(const std::optional<CellCommit>& commit, const WorkerMachines& workers);
    Owner* ownerOf(int number);
    const Owner* present() const;
    void perform(const WorkerCommand& order, int owner);
    template <typename OrderType> void performOrder(const OrderType& order, int owner);
    template <typename OrderType>
    void send(const OrderType& order, int owner, const CarriedOut& how, bool isAnswerLost);
    template <typename OrderType>
    void carryOutLate(const OrderType& order, std::int64_t incarnationUnixMs, const CarriedOut& how);
    CommandResult carryOut(ModelWorker& worker, const StartCommand& order, const CarriedOut& how);
    CommandResult carryOut(ModelWorker& worker, const StopCommand& order, const CarriedOut& how);
    CommandResult carryOut(ModelWorker&, const ThrottleCommand&, const CarriedOut&)
    {
        return { CommandStatus::Done, RefusalReason::None, 0 };
    }
    void look(const PollCommand& order, int owner);
    void lookLate(const PollCommand& order, std::int64_t incarnationUnixMs);
    void finishLook(PollCommand order, TimePoint sentAt, TimePoint deadline, int owner);
    ModelWorker* find(const WorkerId& id);
    bool isCut(const WorkerId& id) const;
    const TaskBehavior& workOf(const TaskRef& task) const;
    void checkStartAfterDone(const StartCommand& order, const CarriedOut& how);
    void checkStart(const ModelWorker& worker, const StartCommand& order, const CarriedOut& how);
    void hear(ModelWorker& worker);
    void noteEnds(const PollReport& report);
    void noteStored(const JobId& job, const std::string& progress);
    void violate(const std::string& what);

    std::mt19937_64 m_random;
    FaultRates m_faults;
    TimePoint m_now { std::chrono::seconds { 1000 } };
    std::uint64_t m_sequence { 0 };
    std::priority_queue<Event, std::vector<Event>, Later> m_events;

    std::vector<ModelWorker> m_workers;
    std::map<WorkerId, TimePoint> m_cutUntil;
    std::vector<Ghost> m_ghosts;
    int m_births { 0 };

    std::map<int, Owner> m_owners; ///< The present one, and earlier ones that do not know it yet.
    int m_owner { 0 }; ///< Counts owners; answers to those that are gone go nowhere.
    std::set<MachineId> m_closing;
    TimePoint m_storeStalledUntil {};
    std::function<void(TimePoint, int, const CellEvent&)> m_watcher;
    CallerToken m_lastToken { 0 };
    std::map<CallerToken, JobId> m_submissions;

    // The part of the store.
    std::map<JobId, std::string> m_jobRows;
    std::map<JobId, std::string> m_progressRows;
    WorkerMachines m_workerRow;
    OutstandingLeases m_heldRow;
    Fence m_term { 0 };

    // The oracle.
    RuleOracle m_oracle { attempts };
    std::map<JobId, Job> m_jobs;
    std::map<JobId, std::vector<TaskBehavior>> m_work;
    std::map<JobId, TimePoint> m_accepted;
    std::map<JobId, TimePoint> m_cancelled; ///< When the cancel was stored.
    std::map<CallerToken, JobId> m_cancels;
    std::map<TaskRef, std::set<RunNumber>> m_failed;
    std::map<TaskRef, bool> m_done; ///< Ended as done anywhere.
    std::map<TaskRef, TimePoint> m_doneStoredAt;
    std::vector<std::string> m_violations;
    int m_starts { 0 };
};

} // namespace rattanrack::jobs::model
