#pragma once

#include "rattanrack/jobs/job.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace rattanrack::jobs::model {

/// Counts how often a worker crashes soon after a start for a cause that is not the started task: the chance that a
/// count of such crashes blames an innocent task.
class StartSurvival {
public:
    static constexpr std::array<Duration, 2> windows { std::chrono::milliseconds { 100 },
        std::chrono::milliseconds { 250 } };
    static constexpr Duration steadyAfter = std::chrono::seconds { 5 }; ///< A worker that has been up for this long.
    static constexpr std::size_t longestRow = 4;

    enum class Condition : std::uint8_t {
        Any,
        SteadyWorker, ///< The worker has been up for `steadyAfter`.
        OnlyStart, ///< In addition, no other start on the worker within the window before the crash.
    };
    static constexpr std::size_t conditions = 3;

    struct Count {
        std::int64_t starts { 0 }; ///< That fulfil the condition on the worker, with whatever other starts.
        std::int64_t hits { 0 };
        /// Tasks hit at least 1, 2, 3, 4 times in a row. A start that survives the window ends the row; a hit that
        /// does not fulfil the condition neither ends nor extends it.
        std::array<std::int64_t, longestRow> tasksByRow {};
    };

    /// Not to be called for tasks that crash their workers.
    void onStarted(const TaskRef& task, const WorkerId& worker, Duration upFor, TimePoint now);
    /// A run that ends by itself has survived.
    void onRunEnded(const TaskRef& task, const WorkerId& worker);
    /// `isByTask`: a task that is not recorded here has crashed the worker, soon after its start.
    void onCrashed(const WorkerId& worker, bool isByTask, TimePoint now);
    void onWorkersUp(std::size_t workers, Duration period) { m_upTime += period * static_cast<std::int64_t>(workers); }

    /// To be called at the end: starts that are still running have survived.
    void finish();

    void add(const StartSurvival& other);
    Count count(std::size_t window, Condition condition) const;
    std::int64_t crashes() const { return m_crashes; }
    std::int64_t crashesByTasks() const { return m_crashesByTasks; }
    std::int64_t tasks() const { return m_tasks; }
    double upSeconds() const { return std::chrono::duration<double>(m_upTime).count(); }

private:
    struct Start {
        TaskRef task;
        TimePoint at;
        bool isOnSteadyWorker { false };
    };
    struct Row {
        std::int64_t length { 0 };
        std::int64_t longest { 0 };
    };
    using Rows = std::array<std::array<Row, conditions>, windows.size()>;
    using Counts = std::array<std::array<Count, conditions>, windows.size()>;

    void recordSurvival(const Start& start);
    void recordSurvivors(std::vector<Start>& starts, TimePoint now);
    void recordHit(const Start& start, std::size_t window, bool isOnlyStart);

    std::map<WorkerId, std::vector<Start>> m_recent; ///< Starts younger than the longest window.
    std::map<TaskRef, Rows> m_rows;
    Counts m_counts;
    std::int64_t m_crashes { 0 };
    std::int64_t m_crashesByTasks { 0 };
    std::int64_t m_tasks { 0 };
    Duration m_upTime {};
};

} // namespace rattanrack::jobs::model
