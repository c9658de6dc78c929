#include "pool_use.h"

#include <algorithm>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr int runsPerWorker = 8;
constexpr Duration step = 50ms; ///< Between the moments that are looked at.

bool isWithin(TimePoint at, TimePoint begin, const std::optional<TimePoint>& end)
{
    return begin <= at && (!end || at < *end);
}

bool isDraining(const History& history, const jobs::WorkerId& worker, TimePoint at)
{
    return std::any_of(history.drains.begin(), history.drains.end(),
        [&](const DrainNotice& drain) { return drain.worker == worker && isWithin(at, drain.at, drain.until); });
}

bool hasRun(const History& history, const jobs::JobId& job, TimePoint at)
{
    return std::any_of(history.runs.begin(), history.runs.end(),
        [&](const RunRecord& run) { return run.task.job == job && isWithin(at, run.startedAt, run.endedAt); });
}

TimePoint lastTroubleEnd(const History& history)
{
    TimePoint last = history.beganAt;
    for (const Trouble& each : history.troubles)
        last = std::max(last, each.to.value_or(each.from));
    return last;
}

} // namespace

PoolUse poolUse(const History& history, const std::string& pool, TimePoint at)
{
    PoolUse use;
    for (const WorkerLife& life : history.lives) {
        if (life.pool != pool || !isWithin(at, life.from, life.to) || isDraining(history, life.worker, at))
            continue;
        const auto running = std::count_if(history.runs.begin(), history.runs.end(), [&](const RunRecord& run) {
            return run.worker == life.worker && isWithin(at, run.startedAt, run.endedAt);
        });
        use.places += runsPerWorker;
        use.taken += static_cast<int>(running);
        use.free += std::max(0, runsPerWorker - static_cast<int>(running));
    }
    return use;
}

Duration longestWaitBesideUnusedPool(const History& history, const jobs::JobId& job)
{
    const JobRecord& record = history.jobs.at(job);
    Duration longest {};
    TimePoint waitsSince = std::max(record.acceptedAt.value_or(history.endedAt), lastTroubleEnd(history));
    for (TimePoint at = waitsSince; at <= history.endedAt; at += step) {
        if (hasRun(history, job, at) || !poolUse(history, record.pool, at).isUnderHalf())
            waitsSince = at + step;
        longest = std::max(longest, at - waitsSince);
    }
    return longest;
}

} // namespace rattanrack::tools
