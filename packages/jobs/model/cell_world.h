#pragma once

#include "model_worker.h"
#include "rattanrack/jobs/cell.h"

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

struct WorldFaults {
    double lostOrders { 0 }; ///< Share of the orders that get no answer and are carried out seconds later.
    double lostAnswers { 0 }; ///< Share of the orders that are carried out at once and get no answer.
    double failedRuns { 0 }; ///< Share of the runs that end as failed.
    double crashesPerSecond { 0 }; ///< Of workers; they rise again after seconds, half of them under a new id.
    double cutsPerSecond { 0 }; ///< Workers that can't be reached for seconds, and run on.
    double takeoversPerSecond { 0 }; ///< The owner is gone at once; another one follows.
    double failedCommits { 0 }; ///< Share of the transactions that the store refuses.
};

class CellWorld {
public:
    CellWorld(std::uint64_t seed, int workers, const WorldFaults& faults);

    /// Hands in a job; counted as accepted once it is stored.
    void submit(const Job& job, const std::vector<ModelWork>& workOfSteps);
    void cancel(const JobId& job);

    /// Lets virtual time pass.
    void run(Duration time);

    /// From now on nothing goes wrong any more.
    void calm() { m_faults = {}; }

    /// What the oracle has seen that must not be; empty when all is well.
    const std::vector<std::string>& violations() const { return m_violations; }
    std::optional<JobState> shown(const JobId& job) const { return m_cell ? m_cell->state(job) : std::nullopt; }
    bool isAccepted(const JobId& job) const { return m_accepted.contains(job); }
    int starts() const { return m_starts; }
    TimePoint now() const { return m_now; }
    int runningOf(const JobId& job) const;

    /// Failed runs of that subtask of the job which failed most often, as far as its workers have listed them.
    int mostFailures(const JobId& job) const;

    /// Jobs that were accepted and are not shown as ended, with what they wait for.
    std::string openJobs() const;

    Cell* cell() { return m_cell.get(); }
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

    bool happens(double probability);
    Duration between(Duration least, Duration most);
    void after(Duration delay, std::function<void()> work);
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }

    void tick();
    void misfortune();
    void crash(std::size_t worker);
    void takeOver();
    void listWorkers();
    void pump();
    void commit();
    void perform(const Order& order);
    template <typename OrderType> void performOrder(const OrderType& order);
    template <typename OrderType> void carryOutLate(const OrderType& order, std::int64_t bornUnixMs);
    CallAnswer carryOut(ModelWorker& worker, const StartOrder& order);
    CallAnswer carryOut(ModelWorker& worker, const StopOrder& order) { return worker.stop(order, m_now); }
    CallAnswer carryOut(ModelWorker&, const PaceOrder&) { return { CallStatus::Done, Refusal::None, 0 }; }
    void look(const LookOrder& order);
    void finishLook(const LookOrder& order, TimePoint sentAt, TimePoint deadline, int owner);
    ModelWorker* find(const WorkerId& id);
    bool isCut(const WorkerId& id) const;
    const ModelWork& workOf(const TaskRef& task) const;
    void checkStart(const ModelWorker& worker, const StartOrder& order);
    void noteEnds(const LookReport& report);
    void violate(const std::string& what);

    std::mt19937_64 m_random;
    WorldFaults m_faults;
    TimePoint m_now { std::chrono::seconds { 1000 } };
    std::uint64_t m_sequence { 0 };
    std::priority_queue<Event, std::vector<Event>, Later> m_events;

    std::vector<ModelWorker> m_workers;
    std::map<WorkerId, TimePoint> m_cutUntil;
    int m_births { 0 };

    std::unique_ptr<Cell> m_cell;
    int m_owner { 0 }; ///< Counts owners; answers to earlier ones go nowhere.
    bool m_isCommitting { false };
    TimePoint m_lastCommit {};
    CallToken m_lastToken { 0 };
    std::map<CallToken, JobId> m_submissions;

    // The part of the store.
    std::map<JobId, std::string> m_jobRows;
    std::map<JobId, std::string> m_progressRows;
    WorkerMachines m_workerRow;
    Fence m_term { 0 };

    // The oracle.
    std::map<JobId, Job> m_jobs;
    std::map<JobId, std::vector<ModelWork>> m_work;
    std::map<JobId, TimePoint> m_accepted;
    std::map<JobId, TimePoint> m_cancelled; ///< When the cancel was stored.
    std::map<CallToken, JobId> m_cancels;
    std::map<TaskRef, std::set<RunNumber>> m_failed;
    std::map<TaskRef, bool> m_done; ///< Ended as done anywhere.
    std::vector<std::string> m_violations;
    int m_starts { 0 };
};

} // namespace rattanrack::jobs::model
