#pragma once

#include "model_worker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::jobs::model {

/// An order as its worker has carried it out.
struct CarriedOut {
    TimePoint orderedAt {};
    bool isHeldUp { false }; ///< Carried out seconds after it was given.
    bool isByPresentOwner { true };
};

/// Four of the platform's rules, judged by what workers have carried out, listed and been told to forget: attempts, no
/// start after a success, what a lasting step may miss, no start on a worker that drains.
class RuleOracle {
public:
    explicit RuleOracle(int attempts)
        : m_attempts(attempts)
    {
    }

    void submitted(const Job& job, TimePoint now);
    void cancelled(const JobId& job) { m_cancelled.insert(job); }
    void drainListed(const WorkerId& worker, TimePoint now) { m_drainListedAt.emplace(worker, now); }
    void started(const StartCommand& order, const CarriedOut& how, TimePoint now);

    /// The stop of a run that was going on; called before the worker's news of it.
    void stopped(const StopCommand& order, const CarriedOut& how, TimePoint now);
    void crashed(const WorkerId& worker, TimePoint now);
    void heard(const WorkerNews& news);

    /// What has been broken since the last time.
    std::vector<std::string> takeViolations() { return std::exchange(m_violations, {}); }
    int stopsAtWork() const { return m_stopsAtWork; }

private:
    struct Subtask {
        std::vector<TimePoint> starts;
        std::map<RunNumber, TimePoint> failedAt; ///< Ends that have been acknowledged.
        std::map<RunNumber, TimePoint> doneAt;
    };
    struct Member {
        RunNumber run { 0 };
        WorkerId worker;
        bool isAtWork { false };
        bool isAwayByOrder { false };
        TimePoint awaySince {};
    };

    const Step& stepOf(const TaskRef& task) const;
    void checkEnds(const TaskRef& task);
    int awayBeside(const TaskRef& task, TimePoint now) const;

    int m_attempts;
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_cancelled;
    std::map<TaskRef, Subtask> m_subtasks;
    std::map<TaskRef, Member> m_members;
    std::map<WorkerId, TimePoint> m_drainListedAt;
    std::vector<std::string> m_violations;
    int m_stopsAtWork { 0 };
};

std::string describe(const TaskRef& task);

} // namespace rattanrack::jobs::model
