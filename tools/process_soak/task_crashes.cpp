#include "task_crashes.h"

namespace rattanrack::tools {

namespace {

/// The stand-in's longest downtime after a crash by a task.
constexpr Duration longestDowntime = std::chrono::milliseconds { 3500 };

} // namespace

TaskCrashes::TaskCrashes(
    Recorder& recorder, const std::vector<std::unique_ptr<adapter::standin::StandinWorker>>& workers)
    : m_recorder(recorder)
    , m_workers(workers)
    , m_watched(workers.size())
{
}

void TaskCrashes::update()
{
    const TimePoint now = m_recorder.now();
    for (std::size_t number = 0; number < m_watched.size(); ++number) {
        Watched& each = m_watched[number];
        const int crashes = m_workers[number]->crashesByTasks;
        const bool isNew = crashes != each.crashes;
        if (each.trouble && (isNew || now >= each.endsAt)) {
            m_recorder.endTrouble(*each.trouble);
            each.trouble.reset();
        }
        if (!isNew)
            continue;
        each.crashes = crashes;
        each.trouble = m_recorder.beginTrouble("crash by task", m_workers[number]->id(), false, false);
        each.endsAt = now + longestDowntime;
    }
}

} // namespace rattanrack::tools
