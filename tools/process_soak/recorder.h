#pragma once

#include "../../platform/standin/standin_worker.h"
#include "history.h"

#include <mutex>
#include <set>

namespace rattanrack::tools {

/// Collects the history of a play from all threads.
class Recorder final : public adapter::standin::RunObserver {
public:
    explicit Recorder(int attempts);

    void onWorkerStarted(const jobs::WorkerDescription& worker) override;
    void onStarted(const jobs::StartCommand& order, bool isLasting) override;
    void onStopCommand(const jobs::StopCommand& order, bool isDraining) override;
    void onEnded(const jobs::WorkerId& worker, const jobs::EndedRun& end) override;
    void onAcknowledged(const jobs::WorkerId& worker, std::int64_t endNumber) override;
    void onLeaseExpired(const jobs::WorkerId& worker) override;
    void onWorkerLost(const jobs::WorkerId& worker, bool byOrder) override;

    /// A worker's entry was handed out; only those of leaving workers are kept.
    void served(const std::string& worker, const std::string& entry);

    /// `crashesWorkers`: each of its subtasks crashes the workers that start it.
    void submitted(
        const jobs::JobId& job, int count, bool isLasting, const std::string& pool, bool crashesWorkers = false);
    void accepted(const jobs::JobId& job);
    void cancelSent(const jobs::JobId& job);
    void completedShown(const jobs::JobId& job);
    void denied(const std::string& node, const jobs::JobId& job, TimePoint sentAt);
    void broke(BrokenCall call);
    void shown(const jobs::JobId& job, const std::string& state);

    /// Names the trouble for `endTrouble`.
    std::size_t beginTrouble(const std::string& what, const std::string& target, bool isOfNode, bool isPlanned);
    void endTrouble(std::size_t number);

    /// What was collected until now.
    History history();
    TimePoint now() const { return m_clock.now(); }

private:
    void recordPool(const jobs::StartCommand& order);
    RunRecord* openRun(const jobs::WorkerId& worker, const jobs::TaskRef& task, jobs::RunNumber run);

    SystemClock m_clock;
    std::mutex m_mutex;
    History m_history;
    std::set<std::size_t> m_open; ///< Runs at work, and those with ends that may be acknowledged.
};

} // namespace rattanrack::tools
