#include "cell_state.h"

#include <algorithm>
#include <sstream>
#include <string>

/// Verdicts on tasks that may crash the workers that start them.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration evidenceWait = 4s; ///< Crashed workers are usually back within this time of the loss.
constexpr std::size_t leastCrashes = 2; ///< That allow a verdict.
/// Starts whose workers have crashed, or may have. The next one is not sent before these are decided.
constexpr std::size_t maxLostStarts = 5;
/// The same if all but one of them were the only recent starts on their workers, while other crashes are rare.
constexpr std::size_t maxLostStartsMostlyAlone = 4;
/// Accepted probability that crashes by other causes look like those of a task.
constexpr double acceptedRisk = 2e-6;
constexpr double riskOfSharedLoss = 0.3; ///< That a task beside others on a crashed worker is harmless.
constexpr std::int64_t workersPerOtherCrash = 2; ///< Crashes by other causes are rare with as many workers for each.

std::string taskName(const TaskRef& task)
{
    return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

} // namespace

std::string describe(const LostStart& lost, const CrashVerdict& verdict)
{
    std::ostringstream text;
    text << (lost.isAlone() ? "its only recent start" : "one of its recent starts");
    if (lost.isAlone())
        text << ", after " << lost.exposure.count() / 1000 << " ms";
    text << (lost.wasReceived ? "" : ", perhaps not received") << (lost.isOnSettledWorker ? "" : ", just restarted");
    if (verdict.crashes > 1)
        text << "; " << verdict.crashes << " crashes, " << verdict.certainCrashes << " certain, risk " << verdict.risk;
    return text.str();
}

/// Whether other causes are unlikely: two crashes at least, and a small product of the probabilities that each
/// had another cause. Starts that may not have arrived count only towards the limit.
CrashVerdict CellState::crashVerdict(const Task& task, TimePoint now) const
{
    const double rate = crashRate(now);
    const double rateAfterRestart = crashRateAfterRestart(now);
    std::size_t crashes = 0;
    std::size_t crashesAlone = 0;
    std::size_t certainCrashes = 0;
    double risk = 1;
    for (const LostStart& lost : task.lostStarts) {
        crashes += lost.isCrash ? 1 : 0;
        crashesAlone += lost.isCrash && lost.isAlone() ? 1 : 0;
        if (!lost.isCrash || !lost.wasReceived)
            continue;
        ++certainCrashes;
        const double rateOfWorker = lost.isOnSettledWorker ? rate : rateAfterRestart;
        risk *= lost.isAlone() ? rateOfWorker * static_cast<double>(lost.exposure.count()) / 1e6 : riskOfSharedLoss;
    }
    const bool areOthersRare = std::ssize(crashEvidence.crashesByOtherCauses) * workersPerOtherCrash
        <= std::max(workersOfPool, listedWorkers);
    const bool isMostlyAlone = crashesAlone + 1 >= crashes && areOthersRare;
    const bool isOverLimit = crashes >= (isMostlyAlone ? maxLostStartsMostlyAlone : maxLostStarts);
    const bool isProven = isOverLimit || (certainCrashes >= leastCrashes && risk <= acceptedRisk);
    return { isProven, crashes, certainCrashes, risk };
}

bool CellState::isProvenToCrash(const Task& task, TimePoint now) const { return crashVerdict(task, now).isProven; }

/// Whether the crashes that are not decided yet would prove the task to crash workers. It starts again once they are
/// decided, or after a while.
bool CellState::isHeldForEvidence(const Task& task, TimePoint now) const
{
    Task assumed;
    assumed.lostStarts = task.lostStarts;
    TimePoint latestOpen {};
    for (LostStart& lost : assumed.lostStarts) {
        latestOpen = lost.isCrash ? latestOpen : std::max(latestOpen, lost.lostAt);
        lost.isCrash = true;
    }
    if (latestOpen == TimePoint {} || !isProvenToCrash(assumed, now))
        return false;
    return task.lostStarts.size() >= maxLostStarts || now - latestOpen < evidenceWait;
}

void CellState::giveUp(JobEntry& entry, const TaskRef& ref)
{
    std::string names;
    for (const LostStart& lost : entry.progress.task(ref).lostStarts) {
        names += ' ' + lost.worker.value();
        if (lost.isAlone())
            names += " (" + std::to_string(lost.exposure.count() / 1000) + " ms)";
        crashEvidence.possibleCauses.erase(crashOf(lost));
    }
    addEvent(JobEvent { JobEvent::Kind::GivenUp, ref.job,
        "task " + taskName(ref) + " has crashed workers" + names + "; crashes by other causes "
            + std::to_string(crashEvidence.crashesByOtherCauses.size()) });
    ++trialCounts.givenUp;
    entry.progress.fail(unixMs);
    markChanged(entry);
    isCommitUrgent = true;
}

} // namespace rattanrack::jobs
