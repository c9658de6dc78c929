#pragma once

#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/missing_run_reason.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

/// Decisions and observations of a cell, for logs and metrics.
namespace rattanrack::jobs {

struct JobEvent {
    enum class Kind : std::uint8_t {
        TakenOver,
        Accepted,
        Ended,
        GivenUp, ///< A task crashes the workers that start it; `detail` names the task and the workers.
        Refused, ///< Not accepted; `detail` tells how long it would have waited.
        NotStorable, ///< The store rejects the job's rows; `detail` tells their size in bytes.
    };
    Kind kind { Kind::Accepted };
    JobId job;
    std::string detail;
    Duration age {}; ///< Since the job was accepted.
};

struct RunEvent {
    enum class Kind : std::uint8_t {
        Starting, ///< A start has been sent; `age` is that of the list of workers.
        Adopted, ///< Found on a worker; a previous owner had started it.
        Stopping, ///< A stop has been sent, or follows the result of the start; `detail` is the reason.
        Ended, ///< Listed as ended by its worker; `detail` is the outcome, `age` the time since it was confirmed.
        /// Assumed to be over although no worker listed its end; `detail` is the evidence, `age` the time since its
        /// start was last sent, 0 if a previous owner sent it.
        PresumedEnded,
        NotStarted, ///< Over, since its start was refused or not sent; `detail` is the reason, `age` as above.
        /// Its worker has crashed soon after the start; `detail` is the evidence, `age` the time since contact was
        /// lost.
        Suspected,
        Cleared, ///< Its worker has survived the start of a suspect.
    };
    Kind kind { Kind::Starting };
    TaskRef task;
    RunNumber run { 0 };
    WorkerId worker;
    int failures { 0 }; ///< Failures of the task counted so far.
    std::size_t uncontactedWorkers { 0 }; ///< Workers of previous owners that have not been contacted yet.
    std::string detail;
    Duration age {};
    /// Of `Starting` and `PresumedEnded`: time since the latest transaction that proves the ownership was sent.
    Duration ownershipAge {};
    /// Of `PresumedEnded`: time since the run was certainly over, by the evidence.
    Duration overSince {};
    /// Of `Starting`: an earlier run of the task is presumed to have ended.
    bool followsPresumedEnd { false };
};

struct WorkerEvent {
    enum class Kind : std::uint8_t {
        Contacted, ///< For the first time under this owner.
        NeverContacted, ///< Its inherited leases have ended before any contact; `age` is the time since the takeover.
        Unresponsive,
        Recovered,
        HigherFenceSeen, ///< The worker has seen a higher fence than this owner's.
        /// Its ended runs through the number in `detail` are stored, and the worker may remove them.
        EndedRunsAcknowledged,
    };
    Kind kind { Kind::Contacted };
    WorkerId worker;
    std::string detail;
    Duration age {};
};

/// A task that could run has had no active run for some seconds.
struct MissingRunEvent {
    TaskRef task;
    RunNumber run { 0 }; ///< The run that is not resolved; 0: none.
    WorkerId worker; ///< Of that run.
    MissingRunReason reason { MissingRunReason::NoRoom };
    /// How many of the workers that are large enough for the task each reason applies to, as "draining 2, no room 5".
    /// Empty if the reason is none of the workers'.
    std::string workers;
    Duration age {}; ///< Since this owner first saw the task without an active run.
};

/// The queue of tasks that may have crashed workers and start in trials. The counts of events are since the event
/// before.
struct TrialQueueEvent {
    int suspects { 0 };
    int waiting { 0 }; ///< Suspects that could start now, but for a worker.
    int likelyCauses { 0 }; ///< Suspects that have crashed a worker on which nothing else had just started.
    int trials { 0 }; ///< Workers on which a trial is in progress.
    int cleared { 0 }; ///< Suspects whose worker survived their trial.
    int givenUp { 0 }; ///< Jobs that were given up.
    int losses { 0 }; ///< Workers that were lost soon after a start.
    Duration longestWait {}; ///< Of a suspect that could start now, since its latest worker was lost.
    int keptWorkers { 0 }; ///< Workers that take no other starts of late, so that a trial may start there.
    int heldByWindow { 0 }; ///< Passes that started no more trials, since too many starts were in flight.
    int heldByLimit { 0 }; ///< Trials not started in a pass, since the others took up the workers that trials may use.
    int heldByRoom { 0 }; ///< Trials not started in a pass, since no worker had room or was free of other starts.
    int lateFirstStarts { 0 }; ///< Tasks started of jobs that nothing had been started of and that were late already.
};

using CellEvent = std::variant<JobEvent, RunEvent, WorkerEvent, MissingRunEvent, TrialQueueEvent>;

} // namespace rattanrack::jobs
