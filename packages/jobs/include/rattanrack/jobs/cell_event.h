#pragma once

#include "rattanrack/jobs/job.h"

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
        PresumedEnded, ///< Assumed to be over although no worker listed its end; `detail` is the evidence.
        NotStarted, ///< Over, since its start was refused or not sent; `detail` is the reason.
        Suspected, ///< Its worker has crashed soon after the start; `detail` is the evidence.
        Cleared, ///< The worker has survived the start of a suspect.
    };
    Kind kind { Kind::Starting };
    TaskRef task;
    RunNumber run { 0 };
    WorkerId worker;
    int failures { 0 }; ///< Failures of the task counted so far.
    std::size_t uncontactedWorkers { 0 }; ///< Workers of previous owners that have not been contacted yet.
    std::string detail;
    Duration age {};
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

using CellEvent = std::variant<JobEvent, RunEvent, WorkerEvent>;

} // namespace rattanrack::jobs
