#include "cell_state.h"
#include "missing_run_diagnosis.h"

/// Reports tasks that could run and have no active run, and what keeps each from its next one.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration checkPeriod = 500ms;
constexpr Duration reportPeriod = 3s; ///< Of one task; also the time until its first report.
constexpr int finiteTasksPerCheck = 500; ///< Of the jobs that the owner received first.
constexpr int finiteReportsPerCheck = 60;

/// One check of all long-running tasks, and of a bounded number of finite tasks.
class MissingRunCheck {
public:
    MissingRunCheck(CellState& state, bool mayStart, TimePoint now)
        : m_state(state)
        , m_diagnosis(state, mayStart, now)
        , m_now(now)
    {
    }

    void checkJob(const JobEntry& entry)
    {
        const int steps = static_cast<int>(entry.job.spec.steps.size());
        for (int occurrence = 0; occurrence < entry.progress.occurrences(); ++occurrence) {
            for (int step = 0; step < steps; ++step)
                checkStep(entry, occurrence, step);
        }
    }

private:
    void checkStep(const JobEntry& entry, int occurrence, int step)
    {
        const Step& spec = entry.job.spec.steps[static_cast<std::size_t>(step)];
        const bool isExamined = spec.isLongRunning || m_finiteTasksLeft > 0;
        if (!isExamined || entry.progress.isStepDone(occurrence, step)
            || !entry.progress.isReady(occurrence, step, m_state.unixMs))
            return;
        if (!spec.isLongRunning)
            m_finiteTasksLeft -= spec.count;
        for (int index = 0; index < spec.count; ++index) {
            const TaskRef task { entry.job.id, occurrence, step, index };
            const TaskPhase phase = entry.progress.task(task).phase;
            if (phase == TaskPhase::Waiting || phase == TaskPhase::Starting)
                checkTask(entry, task, spec.isLongRunning);
        }
    }

    void checkTask(const JobEntry& entry, const TaskRef& task, bool isLongRunning)
    {
        const MissingRun found { m_now, m_now + reportPeriod, m_now };
        MissingRun& missing = m_state.missingRuns.try_emplace(task, found).first->second;
        missing.checkedAt = m_now;
        if (m_now < missing.reportAt || (!isLongRunning && m_finiteReportsLeft == 0))
            return;
        m_finiteReportsLeft -= isLongRunning ? 0 : 1;
        missing.reportAt = m_now + reportPeriod;
        MissingRunEvent event = m_diagnosis.diagnose(entry, task);
        event.age = m_now - missing.since;
        m_state.addEvent(std::move(event));
    }

    CellState& m_state;
    MissingRunDiagnosis m_diagnosis;
    TimePoint m_now;
    int m_finiteTasksLeft { finiteTasksPerCheck };
    int m_finiteReportsLeft { finiteReportsPerCheck };
};

} // namespace

void CellState::checkMissingRuns(bool mayStart, TimePoint now)
{
    if (now < nextMissingRunCheckAt)
        return;
    nextMissingRunCheckAt = now + checkPeriod;
    MissingRunCheck check { *this, mayStart, now };
    for (const JobEntry* entry : unfinishedJobs) {
        if (!entry->progress.hasEnded())
            check.checkJob(*entry);
    }
    std::erase_if(missingRuns, [&](const auto& each) { return each.second.checkedAt != now; });
}

} // namespace rattanrack::jobs
