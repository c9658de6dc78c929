#include "cell_state.h"

#include <algorithm>

/// How often workers crash by other causes than tasks.
namespace rattanrack::jobs {

namespace {

constexpr double crashRateMargin = 4; ///< Crashes come in groups.
/// Of a worker that has been up for a short time, as long as nothing is known about such workers.
constexpr double secondsPerCrashAfterRestart = 2;

} // namespace

/// Listed workers, and those that tasks have just crashed, which were up until then.
std::int64_t CellState::countWorkersOfPool() const
{
    const auto isDown = [&](const auto& each) {
        const auto worker = workers.find(each.first);
        return worker != workers.end() && !worker->second.isListed;
    };
    return listedWorkers + std::count_if(crashEvidence.openByWorker.begin(), crashEvidence.openByWorker.end(), isDown);
}

/// Crashes in a second of a worker, by causes other than tasks: as seen lately, and not less than one since the last.
double CellState::crashRate(TimePoint now) const
{
    const auto perWorkerSecond = [&](double crashes, Duration time) {
        return crashes * 1e6
            / static_cast<double>(std::max<std::int64_t>(std::max(workersOfPool, listedWorkers) * time.count(), 1));
    };
    const auto recent = static_cast<double>(crashEvidence.crashesByOtherCauses.size());
    const Duration calmTime = crashEvidence.latestByOtherCause == TimePoint {}
        ? now - takenOverAt
        : std::max(now - crashEvidence.latestByOtherCause, otherCauseMemory);
    return std::max(perWorkerSecond(recent * crashRateMargin, std::min(now - takenOverAt, otherCauseMemory)),
        perWorkerSecond(1, calmTime));
}

/// The same of a worker that has been up for a short time: it may restart again by itself, unless such workers have
/// been seen to stay up apart from crashes by tasks.
double CellState::crashRateAfterRestart(TimePoint now) const
{
    const double crashes = 1 + crashRateMargin * crashEvidence.otherCrashesAfterRestart;
    return std::max(crashRate(now), crashes / (secondsPerCrashAfterRestart + crashEvidence.secondsAfterRestart));
}

/// Counts for how long workers that have restarted stay up; called once each `period`.
void CellState::observeRestartedWorkers(Duration period, TimePoint now)
{
    const auto seconds = [](Duration time) { return static_cast<double>(time.count()) / 1e6; };
    const double kept = 1 - seconds(period) / seconds(otherCauseMemory);
    const auto isRestarted = [&](const auto& each) {
        const Worker& worker = each.second;
        return worker.isListed && worker.contact == WorkerContact::Responsive && !worker.isSettled(now);
    };
    const auto restarted = static_cast<double>(std::count_if(workers.begin(), workers.end(), isRestarted));
    crashEvidence.otherCrashesAfterRestart *= kept;
    crashEvidence.secondsAfterRestart *= kept;
    // Workers that start in a calm time show nothing about those that come back after a crash.
    if (!crashEvidence.crashesUnderStarts.empty())
        crashEvidence.secondsAfterRestart += restarted * seconds(period);
    workersOfPool = countWorkersOfPool();
}

} // namespace rattanrack::jobs
