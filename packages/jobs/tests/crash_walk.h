#pragma once

#include "../model/cell_simulation.h"
#include "walk_seeds.h"

#include <set>

/// Random walks of jobs some of whose tasks crash each worker that starts them, under random faults.
namespace rattanrack::jobs::tests {

/// Jobs and faults of a walk. Shares are of the submitted jobs.
struct CrashWalkSettings {
    double crashingShare { 0 }; ///< Jobs of which one task crashes its workers.
    model::FaultRates faults;
    int mostTasks { 4 }; ///< Of a finite job.
    int jobsAtOnce { 1 }; ///< Submitted at the same moment.
    double gangShare { 0 };
    double onePerWorkerShare { 0 }; ///< Jobs that run at most one task on a worker.
    double cancelledShare { 0 };
    int longRunningJobs { 0 }; ///< Submitted first; none of their tasks crashes its worker.
    /// Whether no long-running task may be without a run for longer than the simulation's limit.
    bool areLongRunningTasksNeverOverdue { false };
};

class CrashWalk {
public:
    CrashWalk(std::uint64_t seed, const CrashWalkSettings& settings);

    void submitSome(int jobs);

    /// Lets all jobs end without further faults, and checks: only a job of which a task has crashed two workers may be
    /// given up, no job without a task that crashes its workers may be, each job ends, and no rule is broken.
    void expectRightVerdicts();

    model::CellSimulation& simulation() { return m_simulation; }

private:
    int pick(int least, int most);
    bool happens(double share);
    Job newJob();
    void submitFinite();
    void submitLongRunning();
    void cancelSome();
    void expectNoneOverdue();
    void expectRightVerdict(const JobId& job);

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    CrashWalkSettings m_settings;
    model::CellSimulation m_simulation;
    std::vector<JobId> m_finiteJobs;
    std::vector<JobId> m_longRunningJobs;
    std::set<JobId> m_crashingJobs; ///< Of which a task crashes its workers.
    std::map<JobId, TimePoint> m_cancelAt;
    std::set<JobId> m_cancelledJobs;
    bool m_wasOverdue { false };
};

/// Plays and checks a walk for each seed. From the environment: RATTANRACK_WALK_TRACE (a job whose runs are printed),
/// RATTANRACK_WALK_SURVIVAL (set: prints how often workers crash soon after a start by a cause that is not the task).
void runCrashWalks(const CrashWalkSettings& settings, const WalkSeeds& seeds);

} // namespace rattanrack::jobs::tests
