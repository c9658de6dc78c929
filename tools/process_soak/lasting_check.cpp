#include "lasting_check.h"

#include "pool_use.h"
#include "task_name.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr Duration lossWindow = 3s; ///< Without a run for this long.
constexpr Duration calmBefore = 4s;
constexpr Duration step = 50ms; ///< Between the moments that are looked at.
constexpr Duration waveLength = 15s; ///< Of the waves that a play orders.
constexpr int roomNeeded = 2;

bool isEndOfProcess(const Trouble& trouble)
{
    return trouble.what == "SIGKILL" || trouble.what == "crash" || trouble.what == "crash by task"
        || trouble.what == "death";
}

bool disturbs(const Trouble& trouble, TimePoint from, TimePoint to)
{
    const auto isNear = [&](TimePoint at) { return from <= at && at <= to; };
    if (isEndOfProcess(trouble))
        return isNear(trouble.from) || (trouble.to && isNear(*trouble.to));
    if (trouble.what == "wave")
        return trouble.from <= to && trouble.from + waveLength >= from;
    return trouble.from <= to && (!trouble.to || *trouble.to >= from);
}

bool hasRoom(const History& history, const std::string& pool, TimePoint from, TimePoint to)
{
    for (TimePoint at = from; at <= to; at += step) {
        if (poolUse(history, pool, at).free < roomNeeded)
            return false;
    }
    return true;
}

/// When the window in which the rule is broken begins.
std::optional<TimePoint> brokenFrom(const History& history, const LastingGap& gap)
{
    const std::string& pool = history.jobs.at(gap.task.job).pool;
    for (TimePoint from = gap.from + restartBound; from + lossWindow <= gap.to; from += step) {
        if (isCalm(history, from - calmBefore, from + lossWindow) && hasRoom(history, pool, from, from + lossWindow))
            return from;
    }
    return std::nullopt;
}

double seconds(Duration length) { return std::chrono::duration<double>(length).count(); }

void addGaps(const History& history, const jobs::TaskRef& task, TimePoint acceptedAt, TimePoint until,
    std::vector<LastingGap>& gaps)
{
    LastingGap gap { task, acceptedAt };
    for (const RunRecord& run : history.runs) {
        if (run.task != task)
            continue;
        gap.to = std::min(run.startedAt, until);
        if (gap.from < gap.to)
            gaps.push_back(gap);
        if (!run.endedAt)
            return;
        gap.from = std::max(acceptedAt, *run.endedAt);
        gap.lastRun = &run;
    }
    gap.to = until;
    if (gap.from < gap.to)
        gaps.push_back(gap);
}

} // namespace

bool isCalm(const History& history, TimePoint from, TimePoint to)
{
    return std::none_of(history.troubles.begin(), history.troubles.end(),
        [&](const Trouble& each) { return disturbs(each, from, to); });
}

std::vector<LastingGap> lastingGaps(const History& history)
{
    std::vector<LastingGap> gaps;
    for (const auto& [id, job] : history.jobs) {
        if (!job.isLasting || !job.acceptedAt)
            continue;
        for (int index = 0; index < job.count; ++index)
            addGaps(history, { id, 0, 0, index }, *job.acceptedAt, job.cancelSentAt.value_or(history.endedAt), gaps);
    }
    return gaps;
}

std::string textOf(const History& history, const LastingGap& gap)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << adapter::taskName(gap.task) << " has no run from "
         << seconds(gap.from - history.beganAt) << " s to " << seconds(gap.to - history.beganAt) << " s ("
         << seconds(gap.to - gap.from) << " s) after ";
    if (gap.lastRun)
        text << "run " << gap.lastRun->run << " at " << gap.lastRun->worker;
    else
        text << "its acceptance";
    return text.str();
}

void judgeLastingGaps(const History& history, std::vector<Violation>& found)
{
    for (const LastingGap& gap : lastingGaps(history)) {
        const auto from = brokenFrom(history, gap);
        if (!from)
            continue;
        std::ostringstream text;
        text << std::fixed << std::setprecision(3) << textOf(history, gap) << ", calm and with room from "
             << seconds(*from - history.beganAt) << " s";
        found.push_back({ "LOST (d)", gap.task.job, text.str() });
    }
}

} // namespace rattanrack::tools
