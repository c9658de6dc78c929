#include "cell_state.h"
#include "rattanrack/base/milliseconds.h"

#include <algorithm>
#include <iterator>

/// Admission of finite jobs. The load pattern is a queue that for some seconds asks for several times what its pool can
/// do, while some of its tasks crash workers.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double usableShare = 0.75; ///< Of the listed processors, as long as no rate has been measured.
constexpr double leastRate = 1; ///< Millicore milliseconds a second, where nothing ends at all.
constexpr Duration longestRetryAfter = 30s;

/// Declared work of the tasks that have not been started.
std::int64_t waitingWork(const JobEntry& entry)
{
    std::int64_t work = 0;
    for (int number = 0; number < static_cast<int>(entry.job.spec.steps.size()); ++number) {
        const Step& step = entry.job.spec.steps[static_cast<std::size_t>(number)];
        const std::int64_t tasks = entry.progress.waitingTasks(0, number);
        work += tasks * step.size.processors.count() * step.declaredRunTime.count() / 1000;
    }
    return work;
}

bool isFinite(const Job& job)
{
    return job.spec.schedule.repeatCount == 0
        && std::none_of(
            job.spec.steps.begin(), job.spec.steps.end(), [](const Step& step) { return step.isLongRunning; });
}

Duration timeFor(double work, double rate)
{
    return Duration { static_cast<std::int64_t>(work / std::max(rate, leastRate) * 1e6) };
}

} // namespace

/// Declared work a second that the listed workers can do at best.
double CellState::expectedDrainRate() const
{
    return static_cast<double>(listedCapacity.processors.count()) * 1000 * usableShare;
}

void CellState::countBacklog(TimePoint now)
{
    backlog = { now };
    schedulingCost.jobsExamined += unfinishedJobs.size();
    for (JobEntry* entry : unfinishedJobs) {
        if (entry->progress.hasEnded() || !isFinite(entry->job))
            continue;
        if (entry->isCriticalPathStale)
            estimateCriticalPath(*entry);
        const auto work = static_cast<double>(waitingWork(*entry));
        backlog.all += work;
        const Rank rank = rankOf(*entry, entry->job.spec.steps.front(), now);
        const bool isHeld = entry->isTakenOver && isRecovering;
        if (rank == Rank::Started && !isHeld)
            backlog.started += work;
        if (rank == Rank::OnTime && !isHeld)
            backlog.inTime.push_back({ entry->declaredWork, work });
    }
    const auto isSmaller
        = [](const BacklogStep& left, const BacklogStep& right) { return left.declaredWork < right.declaredWork; };
    std::sort(backlog.inTime.begin(), backlog.inTime.end(), isSmaller);
    double sum = 0;
    for (BacklogStep& step : backlog.inTime)
        step.work = sum += step.work;
}

double Backlog::ahead(std::int64_t declaredWork) const
{
    const auto isLarger = [](std::int64_t size, const BacklogStep& step) { return size < step.declaredWork; };
    const auto end = std::upper_bound(inTime.begin(), inTime.end(), declaredWork, isLarger);
    return started + (end == inTime.begin() ? 0 : std::prev(end)->work);
}

/// When a job that is submitted now would be served, by the order that is in force. Empty: nothing waits, or the job
/// has no end.
std::optional<ExpectedWait> CellState::expectedWait(JobEntry& submitted, TimePoint now)
{
    const std::optional<double> rate = drainRate.workPerSecond();
    if (!rate || !isFinite(submitted.job))
        return std::nullopt;
    estimateCriticalPath(submitted);
    if (now - backlog.countedAt >= backlogPeriod)
        countBacklog(now);
    return ExpectedWait { timeFor(backlog.ahead(submitted.declaredWork), *rate), timeFor(backlog.all, *rate) };
}

/// While tasks crash workers, refuses what would be worth nothing once it is served: each first start may cost a worker
/// some seconds, so that a backlog of late jobs leaves no workers to decide what has crashed others. The reply waits
/// for the next transaction, which shows that no later owner has accepted the job.
bool CellState::refuseIfHopeless(JobEntry& submitted, CallerToken token, TimePoint now)
{
    if (!submitted.queue || !areJobsKeptApart())
        return false;
    const std::optional<ExpectedWait> wait = expectedWait(submitted, now);
    if (!wait)
        return false;
    const Duration timeLeft = submitted.dueAt - now;
    const bool isInTime = wait->inTime + submitted.criticalPath <= timeLeft;
    const Duration longestWait = timeLeft * lateFactor - submitted.criticalPath;
    if (isInTime || wait->behindAll <= longestWait)
        return false;
    refusals.push_back({ token, now, std::min(wait->behindAll, longestRetryAfter) });
    addEvent(JobEvent { JobEvent::Kind::Refused, submitted.job.id,
        "would wait " + std::to_string(milliseconds(wait->behindAll)) + " ms, worth nothing after "
            + std::to_string(milliseconds(longestWait)) + " ms" });
    return true;
}

/// The transaction that was sent at `sentAt` has succeeded: this node owned the cell then.
void CellState::replyToRefusals(TimePoint sentAt)
{
    std::erase_if(refusals, [&](const RefusedSubmission& each) {
        const bool isConfirmed = each.at <= sentAt;
        if (isConfirmed)
            output.replies.push_back({ each.token, false, each.retryAfter });
        return isConfirmed;
    });
}

bool Cell::hasUnconfirmedRefusals() const { return !m_state->refusals.empty(); }

} // namespace rattanrack::jobs
