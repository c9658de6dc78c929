#include "cell_state.h"

#include <algorithm>
#include <utility>

/// Reports on the queue of tasks that wait for a trial.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration reportPeriod = 1s;

} // namespace

void CellState::addToReport(TrialQueueEvent& report, const TaskRef& suspect, TimePoint now, std::int64_t wallMs)
{
    const JobEntry* entry = findUndecided(suspect);
    if (!entry)
        return;
    const std::vector<LostStart>& lostStarts = entry->progress.task(suspect).lostStarts;
    const bool isLikelyCause = std::any_of(
        lostStarts.begin(), lostStarts.end(), [](const LostStart& each) { return each.isCrash && each.isAlone(); });
    ++report.suspects;
    report.likelyCauses += isLikelyCause ? 1 : 0;
    if (!mayStartTrial(*entry, suspect, now, wallMs))
        return;
    ++report.waiting;
    report.longestWait = std::max(report.longestWait, now - lostStarts.back().lostAt);
}

/// Nothing is reported of a cell without suspects, except for the last events and that none is left.
void CellState::reportTrialQueue(TimePoint now, std::int64_t wallMs)
{
    const bool isAnyEvent = trialCounts.cleared + trialCounts.givenUp + trialCounts.losses > 0;
    const bool isAnySuspect = !crashEvidence.suspects.empty();
    if (now < nextTrialReportAt || !(isAnySuspect || isAnyEvent || hasReportedSuspects))
        return;
    hasReportedSuspects = isAnySuspect;
    nextTrialReportAt = now + reportPeriod;
    TrialQueueEvent report = std::exchange(trialCounts, {});
    for (const TaskRef& suspect : crashEvidence.suspects)
        addToReport(report, suspect, now, wallMs);
    for (const auto& [id, worker] : workers) {
        report.trials += worker.hasTrial() ? 1 : 0;
        report.keptWorkers += worker.isKeptForTrial(now) ? 1 : 0;
    }
    addEvent(report);
}

} // namespace rattanrack::jobs
