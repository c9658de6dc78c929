#pragma once

#include "model_worker.h"
#include "rattanrack/jobs/cell.h"

#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Simulation in virtual time of a cell whose owner has a small share of a processor: its queues can send only a
/// limited number of commands a second to workers.
namespace rattanrack::jobs::model {

struct StarvedOwnerSettings {
    int workers { 64 };
    int commandsPerSecond { 50 }; ///< Starts that the owner can decide on and send.
    Duration passPeriod { std::chrono::milliseconds { 10 } }; ///< Time between scheduling passes.
    std::set<int> unresponsiveWorkers; ///< Workers that do not respond to starts.
    /// Of the network and the worker together, for one command.
    Duration responseTime { std::chrono::milliseconds { 4 } };
};

class StarvedOwner {
public:
    explicit StarvedOwner(StarvedOwnerSettings settings);

    /// Submits a job of one step, which is stored at once.
    void submit(int tasks, bool isGang = false);

    /// Advances virtual time by `time` while jobs of one task are submitted.
    void run(Duration time, int jobsPerSecond = 0);

    int decidedStarts() const { return m_decidedStarts; } ///< Starts that the cell has issued.
    /// Starts that were dropped after waiting too long in the queues.
    int expiredStarts() const { return m_expiredStarts; }
    int startLimit() const { return m_cell.startLimit(); }
    int startedRuns() const { return m_startedRuns; } ///< Runs that workers have started.

private:
    struct QueuedCommand {
        WorkerCommand command;
        TimePoint decidedAt;
    };
    struct WorkerQueue {
        std::deque<QueuedCommand> commands;
        TimePoint busyUntil {}; ///< A command to its worker waits for a response until then.
    };
    struct PendingPoll {
        PollCommand command;
        TimePoint sentAt;
        TimePoint deadline;
    };
    struct ScheduledWork {
        TimePoint at;
        std::uint64_t sequence { 0 };
        std::function<void()> work;
    };
    struct IsLater {
        bool operator()(const ScheduledWork& left, const ScheduledWork& right) const
        {
            return std::pair { left.at, left.sequence } > std::pair { right.at, right.sequence };
        }
    };

    void tick();
    void updateBudgets();
    void listWorkers();
    void runPass();
    void commitAll();
    void sendCommands();
    bool sendNext(std::size_t queue);
    void execute(const QueuedCommand& queued, std::size_t queue);
    template <typename CommandType>
    void scheduleResult(const CommandType& command, CommandResult result, TimePoint decidedAt, Duration after);
    void answerPolls();
    std::size_t queueIndexOf(const WorkerId& worker) const;
    std::int64_t unixMs() const { return m_now.time_since_epoch().count() / 1000; }

    StarvedOwnerSettings m_settings;
    TimePoint m_now { std::chrono::seconds { 1000 } };
    Cell m_cell;
    std::vector<ModelWorker> m_workers;
    std::vector<WorkerQueue> m_queues;
    std::vector<PendingPoll> m_polls;
    std::priority_queue<ScheduledWork, std::vector<ScheduledWork>, IsLater> m_scheduled;
    std::uint64_t m_sequence { 0 };
    std::size_t m_nextQueue { 0 };
    double m_sendBudget { 0 }; ///< Processor time available for sending, in starts.
    double m_decisionBacklog { 0 }; ///< Processor time that the latest scheduling pass still takes, in starts.
    double m_jobsDue { 0 };
    TimePoint m_nextPassAt {};
    TimePoint m_nextListAt {};
    int m_lastJob { 0 };
    int m_decidedStarts { 0 };
    int m_expiredStarts { 0 };
    int m_startedRuns { 0 };
};

} // namespace rattanrack::jobs::model
