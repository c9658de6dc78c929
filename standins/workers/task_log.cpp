#include "task_log.h"

#include <algorithm>

namespace rattanrack::standin {

std::size_t TaskLog::begin(TaskEntry entry)
{
    entry.started = wallClockMilliseconds();
    const std::lock_guard guard { m_mutex };
    m_entries.push_back(std::move(entry));
    return m_entries.size() - 1;
}

void TaskLog::end(std::size_t entry, std::string state)
{
    const std::lock_guard guard { m_mutex };
    m_entries[entry].ended = wallClockMilliseconds();
    m_entries[entry].state = std::move(state);
}

std::vector<TaskEntry> TaskLog::entries(std::size_t first, std::size_t limit) const
{
    const std::lock_guard guard { m_mutex };
    const auto begin = std::min(first, m_entries.size());
    const auto end = begin + std::min(limit, m_entries.size() - begin);
    return { m_entries.begin() + static_cast<std::ptrdiff_t>(begin),
        m_entries.begin() + static_cast<std::ptrdiff_t>(end) };
}

} // namespace rattanrack::standin
