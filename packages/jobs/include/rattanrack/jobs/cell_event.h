#pragma once

#include "rattanrack/jobs/job.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

/// What a cell has decided or come to believe, for logs and metrics.
namespace rattanrack::jobs {

struct JobEvent {
    enum class Kind : std::uint8_t { TakenOver, Accepted, Ended };
    Kind kind { Kind::Accepted };
    JobId job;
    std::string detail;
    Duration age {}; ///< Since the job was accepted.
};

struct RunEvent {
    enum class Kind : std::uint8_t {
        Starting, ///< A start is on its way; `age` is that of the list of workers.
        Adopted, ///< Found on a worker; an earlier owner had ordered it.
        Stopping, ///< A stop is on its way, or follows the answer to the start; `detail` says why.
        Ended, ///< Its worker has listed its end; `detail` says how, `age` is the time since it was confirmed.
        PresumedEnded, ///< Taken for over without a listed end; `detail` names the proof.
        NotStarted, ///< Over, since its start was refused or not sent; `detail` says why.
    };
    Kind kind { Kind::Starting };
    TaskRef task;
    RunNumber run { 0 };
    WorkerId worker;
    int failures { 0 }; ///< Of the subtask, counted so far.
    std::size_t uncontactedWorkers { 0 }; ///< Workers of earlier owners that have not been heard yet.
    std::string detail;
    Duration age {};
};

struct WorkerEvent {
    enum class Kind : std::uint8_t {
        Contacted, ///< For the first time under this owner.
        NeverContacted, ///< Waited for since the takeover, in vain; `age` is that time.
        Unresponsive,
        Recovered,
        HigherFenceSeen, ///< It has seen a higher fence than this owner's.
        EndedRunsAcknowledged, ///< Its ends through the number in `detail` are stored, and may be forgotten there.
    };
    Kind kind { Kind::Contacted };
    WorkerId worker;
    std::string detail;
    Duration age {};
};

using CellEvent = std::variant<JobEvent, RunEvent, WorkerEvent>;

} // namespace rattanrack::jobs
