#include "start_survival.h"

#include <algorithm>

namespace rattanrack::jobs::model {

void StartSurvival::onStarted(const TaskRef& task, const WorkerId& worker, Duration upFor, TimePoint now)
{
    std::vector<Start>& starts = m_recent[worker];
    recordSurvivors(starts, now);
    const bool isOnSteadyWorker = upFor >= steadyAfter;
    starts.push_back({ task, now, isOnSteadyWorker });
    m_rows.try_emplace(task);
    for (auto& counts : m_counts) {
        ++counts[static_cast<std::size_t>(Condition::Any)].starts;
        for (const Condition steady : { Condition::SteadyWorker, Condition::OnlyStart })
            counts[static_cast<std::size_t>(steady)].starts += isOnSteadyWorker ? 1 : 0;
    }
}

void StartSurvival::onCrashed(const WorkerId& worker, bool isByTask, TimePoint now)
{
    ++m_crashes;
    m_crashesByTasks += isByTask ? 1 : 0;
    std::vector<Start> starts = std::move(m_recent[worker]);
    m_recent.erase(worker);
    recordSurvivors(starts, now);
    for (std::size_t window = 0; window < windows.size(); ++window) {
        const auto isHit = [&](const Start& start) { return now - start.at < windows[window]; };
        const auto hits = std::count_if(starts.begin(), starts.end(), isHit);
        const bool isOnlyStart = hits == 1 && !isByTask;
        for (const Start& start : starts) {
            if (isHit(start)) {
                recordHit(start, window, isOnlyStart);
                continue;
            }
            for (Row& row : m_rows[start.task][window])
                row.length = 0;
        }
    }
}

void StartSurvival::recordHit(const Start& start, std::size_t window, bool isOnlyStart)
{
    const std::array<bool, conditions> isFulfilled { true, start.isOnSteadyWorker,
        start.isOnSteadyWorker && isOnlyStart };
    for (std::size_t condition = 0; condition < conditions; ++condition) {
        if (!isFulfilled[condition])
            continue;
        ++m_counts[window][condition].hits;
        Row& row = m_rows[start.task][window][condition];
        row.longest = std::max(row.longest, ++row.length);
    }
}

void StartSurvival::recordSurvival(const Start& start)
{
    for (auto& rows : m_rows[start.task]) {
        for (Row& row : rows)
            row.length = 0;
    }
}

void StartSurvival::onRunEnded(const TaskRef& task, const WorkerId& worker)
{
    std::vector<Start>& starts = m_recent[worker];
    const auto found
        = std::find_if(starts.begin(), starts.end(), [&](const Start& start) { return start.task == task; });
    if (found == starts.end())
        return;
    recordSurvival(*found);
    starts.erase(found);
}

/// Starts older than the longest window have survived.
void StartSurvival::recordSurvivors(std::vector<Start>& starts, TimePoint now)
{
    const auto hasSurvived = [&](const Start& start) { return now - start.at >= windows.back(); };
    for (const Start& start : starts) {
        if (hasSurvived(start))
            recordSurvival(start);
    }
    std::erase_if(starts, hasSurvived);
}

void StartSurvival::finish()
{
    m_recent.clear();
    m_tasks += static_cast<std::int64_t>(m_rows.size());
    for (const auto& [task, rows] : m_rows) {
        for (std::size_t window = 0; window < windows.size(); ++window) {
            for (std::size_t condition = 0; condition < conditions; ++condition) {
                const std::int64_t longest = rows[window][condition].longest;
                for (std::size_t length = 0; length < longestRow; ++length)
                    m_counts[window][condition].tasksByRow[length]
                        += longest > static_cast<std::int64_t>(length) ? 1 : 0;
            }
        }
    }
    m_rows.clear();
}

void StartSurvival::add(const StartSurvival& other)
{
    m_crashes += other.m_crashes;
    m_crashesByTasks += other.m_crashesByTasks;
    m_tasks += other.m_tasks;
    m_upTime += other.m_upTime;
    for (std::size_t window = 0; window < windows.size(); ++window) {
        for (std::size_t condition = 0; condition < conditions; ++condition) {
            Count& sum = m_counts[window][condition];
            const Count& added = other.m_counts[window][condition];
            sum.starts += added.starts;
            sum.hits += added.hits;
            for (std::size_t length = 0; length < longestRow; ++length)
                sum.tasksByRow[length] += added.tasksByRow[length];
        }
    }
}

StartSurvival::Count StartSurvival::count(std::size_t window, Condition condition) const
{
    return m_counts[window][static_cast<std::size_t>(condition)];
}

} // namespace rattanrack::jobs::model
