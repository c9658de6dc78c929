#pragma once

#include "cell_state.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// Says what keeps tasks without an active run from their next one, as of the latest scheduling pass. Valid while the
/// cell does not change.
class MissingRunDiagnosis {
public:
    /// `mayStart`: whether the owner could start tasks in that pass.
    MissingRunDiagnosis(const CellState& state, bool mayStart, TimePoint now)
        : m_state(state)
        , m_mayStart(mayStart)
        , m_now(now)
    {
    }

    /// The step of the task must be ready. Its `age` is left at zero.
    MissingRunEvent diagnose(const JobEntry& entry, const TaskRef& task);

private:
    /// A worker without regard to a task.
    struct SurveyedWorker {
        const Worker* worker { nullptr };
        std::optional<MissingRunReason> bar;
        ResourceSize free;
        ResourceSize freeOnceResolved; ///< Once the runs that are not resolved have ended.
    };
    using WorkerCounts = std::array<int, missingRunReasons>;

    std::optional<MissingRunReason> reasonOfJob(const JobEntry& entry, const TaskRef& task) const;
    void surveyWorkers();
    bool hasUsableRoom(const JobEntry& entry, const TaskRef& task) const;
    int startsAllowedOn(const SurveyedWorker& surveyed, const Step& step, const TaskRef& task) const;
    std::optional<MissingRunReason> barFor(const SurveyedWorker& surveyed, const Step& step, const JobId& job) const;
    WorkerCounts countBars(const Step& step, const JobId& job) const;
    MissingRunReason reasonOfPass(const TaskRef& task) const;

    const CellState& m_state;
    bool m_mayStart;
    TimePoint m_now;
    std::vector<SurveyedWorker> m_workers;
};

} // namespace rattanrack::jobs
