#pragma once

#include "task_log.h"

#include "rattanrack/platform/vm_list.h"
#include "rattanrack/platform/worker.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <optional>

namespace rattanrack::standin {

/// How one worker misbehaves at the moment.
struct WorkerFaults {
    bool isDead { false }; ///< Takes no connections; what ran was killed.
    bool isPaused { false }; ///< Answers nothing and makes no progress until it goes on.
    bool failsEverything { false };
    double truncate { 0 }; ///< Part of answers that are cut off in the middle.
    double doubled { 0 }; ///< Part of answers that are sent twice.
    Duration answerDelay {};
    double runTimeFactor { 1 }; ///< True run time over the declared one.
    double usageFactor { 1 }; ///< Reported usage over the declared size.
    Duration reportLag { std::chrono::seconds { 1 } };
};

struct RefusalCounters {
    std::uint64_t busy { 0 };
    std::uint64_t draining { 0 };
    std::uint64_t epoch { 0 };
    std::uint64_t revoked { 0 };
    std::uint64_t tooLarge { 0 };
    std::uint64_t repeated { 0 }; ///< Orders for an attempt that had been seen before; they started nothing.
};

enum class ActionResult { Done, NotFound, Refused };

/// One worker: slots, leases, epochs, draining and revocation. An attempt starts at most once, also after a reboot,
/// which keeps the record of attempts. Safe from several threads.
class WorkerModel {
public:
    WorkerModel(platform::VmDescription vm, TaskLog& log);

    /// Runs the order to its end; a repeated attempt gets the outcome of the first.
    platform::TaskOutcome run(const platform::TaskOrder&, Duration leaseTime);
    platform::AttemptReport attempt(const AttemptId&) const;
    platform::AttemptReport revoke(const AttemptId&);
    ActionResult renewLease(const AttemptId&, Duration leaseTime);
    ActionResult stop(const AttemptId&, platform::StopMode);
    ActionResult setDraining(bool isDraining, std::uint64_t poolEpoch, std::uint64_t bootId);

    /// Usage as it was `reportLag` ago.
    platform::WorkerReport report() const;

    /// Starts a new boot: the worker takes no work, and knows no epoch, until it is told to take work.
    void boot();

    /// Reboots only a worker that drains under this epoch, in this boot, and runs nothing.
    bool mayReboot(std::uint64_t poolEpoch, std::uint64_t bootId) const;

    /// Ends every running task; the log says "killed".
    void killAll();

    /// Blocks while the worker is paused.
    void waitWhilePaused() const;
    WorkerFaults faults() const;
    void setFaults(const WorkerFaults&);
    RefusalCounters refusals() const;
    const platform::VmDescription& vm() const { return m_vm; }

private:
    struct Attempt {
        platform::AttemptState state { platform::AttemptState::NeverSeen };
        platform::TaskStatus status { platform::TaskStatus::Unknown };
        std::string output;
        std::string detail;
        ResourceSize size;
        Deadline lease;
        TimePoint started;
        TimePoint ended { TimePoint::max() };
        TimePoint endsAt;
        std::size_t logEntry { 0 };
    };

    std::optional<platform::TaskOutcome> refusal(const platform::TaskOrder&);
    Attempt& start(const platform::TaskOrder&, Duration leaseTime);
    void awaitEnd(std::unique_lock<std::mutex>&, Attempt&);
    void finish(Attempt&, platform::AttemptState, std::string output, const std::string& logState);
    void finishByItself(Attempt&, const platform::TaskOrder&);
    static platform::TaskOutcome outcomeOf(const Attempt&);
    static std::uint64_t newBootId();

    const platform::VmDescription m_vm;
    TaskLog& m_log;
    SystemClock m_clock;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::map<AttemptId, Attempt> m_attempts;
    std::deque<std::pair<AttemptId, Attempt*>> m_recent; ///< Running, or ended not long ago.
    std::int64_t m_runningCount { 0 };
    std::uint64_t m_epoch { 0 };
    std::uint64_t m_bootId { newBootId() };
    bool m_isDraining { false };
    WorkerFaults m_faults;
    RefusalCounters m_refusals;
};

} // namespace rattanrack::standin
