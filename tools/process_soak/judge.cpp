#include "judge.h"

#include "crash_check.h"
#include "lasting_check.h"
#include "pool_use.h"
#include "task_name.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <set>
#include <sstream>

namespace rattanrack::tools {

namespace {

using namespace std::chrono_literals;

constexpr Duration stableWindow = 3s; ///< After a trouble, until a node counts as undisturbed.
constexpr Duration graceSlack = 7s; ///< From SIGTERM until its effects on callers are over.
constexpr Duration reloadTime = 2s; ///< From SIGHUP until its effects on callers are over.
constexpr Duration lossSlack = 200ms;
constexpr Duration knownAfter = 3s; ///< From the ack of a job until every node knows it.
constexpr Duration drainBound = 2s;
constexpr Duration awayNotice = 4500ms;
constexpr Duration startGrace = 1s; ///< From the answer that a job is completed, for starts on their way.
constexpr Duration overlapSlack = 60ms; ///< How late the rig may note that a run has ended.

constexpr const char* endingNames[] = { "at work", "done", "failed", "stopped", "lapsed", "gone", "maintained" };

double seconds(Duration length) { return std::chrono::duration<double>(length).count(); }

double seconds(const History& history, TimePoint at) { return seconds(at - history.beganAt); }

std::string placeOf(const History& history, const RunRecord& run)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << adapter::taskName(run.task) << " run " << run.run << " at "
         << run.worker << " (" << seconds(history, run.startedAt) << " s)";
    return text.str();
}

bool touches(const Trouble& trouble, TimePoint from, TimePoint to)
{
    return trouble.from <= to && (!trouble.to || *trouble.to >= from);
}

/// Whether a trouble that `counts` lies within the window before `from`, or before `to`.
bool isDisturbed(
    const History& history, TimePoint from, TimePoint to, const std::function<bool(const Trouble&)>& counts)
{
    return std::any_of(history.troubles.begin(), history.troubles.end(),
        [&](const Trouble& each) { return counts(each) && touches(each, from - stableWindow, to); });
}

using RunsOfTask = std::map<jobs::TaskRef, std::vector<const RunRecord*>>;

RunsOfTask runsByTask(const History& history)
{
    RunsOfTask runs;
    for (const RunRecord& run : history.runs)
        runs[run.task].push_back(&run);
    return runs;
}

void judgeBudget(const History& history, const RunsOfTask& tasks, std::vector<Violation>& found)
{
    for (const auto& [task, runs] : tasks) {
        for (const RunRecord* start : runs) {
            const auto failures = std::count_if(runs.begin(), runs.end(), [&](const RunRecord* run) {
                return run->ending == Ending::Failed && run->acknowledgedAt && *run->endedAt < start->startedAt;
            });
            if (!start->isLasting && failures >= history.attempts)
                found.push_back({ "BUDGET", task.job, placeOf(history, *start) });
        }
    }
}

bool isTwice(const RunRecord& earlier, const RunRecord& later)
{
    if (earlier.ending == Ending::Done && earlier.acknowledgedAt && *earlier.endedAt < later.startedAt)
        return true;
    return !earlier.endedAt || *earlier.endedAt > later.startedAt + overlapSlack;
}

void judgeTwice(const History& history, const RunsOfTask& tasks, std::vector<Violation>& found)
{
    for (const auto& [task, runs] : tasks) {
        for (std::size_t later = 1; later < runs.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                if (isTwice(*runs[earlier], *runs[later]))
                    found.push_back({ "TWICE", task.job,
                        placeOf(history, *runs[later]) + " beside or after " + placeOf(history, *runs[earlier]) });
            }
        }
    }
}

/// Whichever node has sent the start, in touch or not.
void judgeStartsAfterCompletion(const History& history, std::vector<Violation>& found)
{
    for (const RunRecord& run : history.runs) {
        const auto job = history.jobs.find(run.task.job);
        const bool isCompleted = job != history.jobs.end() && job->second.completedShownAt;
        if (isCompleted && run.startedAt > *job->second.completedShownAt + startGrace)
            found.push_back({ "TWICE", run.task.job, placeOf(history, run) + " after its job was shown as completed" });
    }
}

bool isLostToPlannedWork(const History& history, const BrokenCall& call)
{
    return std::any_of(history.troubles.begin(), history.troubles.end(), [&](const Trouble& each) {
        const Duration reach = each.what == "SIGHUP" ? reloadTime : graceSlack;
        return each.isPlanned && each.isOfNode && each.target == call.node && each.from <= call.endedAt
            && call.sentAt <= each.from + reach;
    });
}

void judgeBrokenCalls(const History& history, std::vector<Violation>& found)
{
    for (const BrokenCall& call : history.brokenCalls) {
        const bool isDisturbedByOthers
            = isDisturbed(history, call.sentAt, call.endedAt, [](const Trouble& each) { return !each.isPlanned; });
        if (call.endedAt - call.sentAt <= lossSlack || isDisturbedByOthers || !isLostToPlannedWork(history, call))
            continue;
        std::ostringstream text;
        text << call.request << " to " << call.node << " sent at " << seconds(history, call.sentAt)
             << " s, connection ended at " << seconds(history, call.endedAt) << " s";
        found.push_back({ "LOST (a)", {}, text.str() });
    }
}

void judgeDenials(const History& history, std::vector<Violation>& found)
{
    for (const DenialOfJob& denial : history.denials) {
        const JobRecord& job = history.jobs.at(denial.job);
        const auto ofNode = [&](const Trouble& each) { return each.isOfNode && each.target == denial.node; };
        if (!job.acceptedAt || job.cancelSentAt || denial.sentAt <= *job.acceptedAt + knownAfter
            || isDisturbed(history, denial.sentAt, denial.sentAt, ofNode))
            continue;
        std::ostringstream text;
        text << denial.job << " denied by " << denial.node << " at " << seconds(history, denial.sentAt) << " s";
        found.push_back({ "LOST (b)", denial.job, text.str() });
    }
}

bool hasCauseToFail(const History& history, const RunsOfTask& tasks, const jobs::JobId& job)
{
    return mayBeGivenUp(history, job) || std::any_of(tasks.begin(), tasks.end(), [&](const auto& each) {
        return each.first.job == job && std::count_if(each.second.begin(), each.second.end(), [](const RunRecord* run) {
            return run->ending == Ending::Failed;
        }) >= history.attempts;
    });
}

int runningOf(const History& history, const jobs::JobId& job)
{
    std::set<jobs::TaskRef> running;
    for (const RunRecord& run : history.runs) {
        if (run.task.job == job && !run.endedAt)
            running.insert(run.task);
    }
    return static_cast<int>(running.size());
}

bool isInOrder(const History& history, const RunsOfTask& tasks, const jobs::JobId& id, const JobRecord& job)
{
    if (job.isLasting)
        return runningOf(history, id) == job.count;
    if (job.lastState == "completed")
        return !job.crashesWorkers;
    return job.lastState == "failed" && hasCauseToFail(history, tasks, id);
}

void judgeEndOfPlay(const History& history, const RunsOfTask& tasks, std::vector<Violation>& found)
{
    for (const auto& [id, job] : history.jobs) {
        if (!job.acceptedAt || job.cancelSentAt)
            continue;
        if (isInOrder(history, tasks, id, job))
            continue;
        std::ostringstream text;
        text << id << " is " << job.lastState << ", " << runningOf(history, id) << " running, "
             << seconds(longestWaitBesideUnusedPool(history, id))
             << " s at most without a run beside an unused half of its pool since the last trouble";
        found.push_back({ "LOST (c)", id, text.str() });
    }
}

void judgeDrains(const History& history, std::vector<Violation>& found)
{
    for (const RunRecord& run : history.runs) {
        const auto mayHoldUp = [&](const Trouble& each) {
            return !each.isPlanned && (each.isOfNode || each.target == run.worker.value());
        };
        for (const DrainNotice& drain : history.drains) {
            if (drain.worker == run.worker && run.startedAt > drain.at + drainBound
                && (!drain.until || run.startedAt < *drain.until)
                && !isDisturbed(history, run.startedAt, run.startedAt, mayHoldUp))
                found.push_back({ "DRAIN", run.task.job, placeOf(history, run) });
        }
    }
}

/// When an order ended the run, or began to; nothing when none did, or its worker was leaving.
std::optional<TimePoint> takenAwayAt(const RunRecord& run)
{
    if (run.wasDraining)
        return std::nullopt;
    return run.stopOrderedAt ? run.stopOrderedAt : run.ending == Ending::Maintained ? run.endedAt : std::nullopt;
}

/// Whether a subtask is away at `at` by an order, or for longer than the notice.
bool isAway(const std::vector<const RunRecord*>& runs, TimePoint acceptedAt, TimePoint at)
{
    const RunRecord* last = nullptr;
    for (const RunRecord* run : runs) {
        if (run->startedAt <= at)
            last = run;
    }
    if (!last)
        return at - acceptedAt > awayNotice;
    const bool isStopping = last->stopOrderedAt && *last->stopOrderedAt <= at;
    if (!last->endedAt || *last->endedAt > at)
        return isStopping;
    const bool wasOrdered = last->ending == Ending::Stopped || last->ending == Ending::Maintained;
    return wasOrdered || at - *last->endedAt > awayNotice;
}

void judgeAvailability(const History& history, const RunsOfTask& tasks, std::vector<Violation>& found)
{
    for (const RunRecord& run : history.runs) {
        const auto at = takenAwayAt(run);
        const auto job = history.jobs.find(run.task.job);
        if (!run.isLasting || !at || job == history.jobs.end())
            continue;
        if (!job->second.acceptedAt || (job->second.cancelSentAt && *job->second.cancelSentAt <= *at))
            continue;
        for (int index = 0; index < job->second.count; ++index) {
            jobs::TaskRef other = run.task;
            other.index = index;
            const auto runs = tasks.find(other);
            static const std::vector<const RunRecord*> s_none;
            if (other != run.task && isAway(runs == tasks.end() ? s_none : runs->second, *job->second.acceptedAt, *at))
                found.push_back({ "AVAIL", run.task.job,
                    placeOf(history, run) + " was ended by an order while " + adapter::taskName(other) + " was away" });
        }
    }
}

} // namespace

std::vector<Violation> judge(const History& history)
{
    std::vector<Violation> found;
    const RunsOfTask tasks = runsByTask(history);
    judgeBudget(history, tasks, found);
    judgeCrashes(history, found);
    judgeTwice(history, tasks, found);
    judgeStartsAfterCompletion(history, found);
    judgeBrokenCalls(history, found);
    judgeDenials(history, found);
    judgeEndOfPlay(history, tasks, found);
    judgeDrains(history, found);
    judgeAvailability(history, tasks, found);
    judgeLastingGaps(history, found);
    return found;
}

std::string recordOf(const History& history, const jobs::JobId& job)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    const auto time = [&](const char* name, const std::optional<TimePoint>& at) {
        if (at)
            text << ' ' << name << ' ' << seconds(history, *at);
    };
    const auto known = history.jobs.find(job);
    if (known != history.jobs.end()) {
        text << "  job " << job << " count " << known->second.count << (known->second.isLasting ? " lasting" : "");
        time("accepted", known->second.acceptedAt);
        time("cancel sent", known->second.cancelSentAt);
        text << ' ' << known->second.lastState << '\n';
    }
    for (const RunRecord& run : history.runs) {
        if (run.task.job != job)
            continue;
        text << "  " << adapter::taskName(run.task) << " run " << run.run << ' ' << run.worker << " fence "
             << run.fence;
        time("start", run.startedAt);
        time("stop ordered", run.stopOrderedAt);
        time("end", run.endedAt);
        text << ' ' << endingNames[static_cast<std::size_t>(run.ending)] << (run.wasDraining ? " draining" : "");
        time("acknowledged", run.acknowledgedAt);
        text << '\n';
    }
    return text.str();
}

std::string troublesOf(const History& history)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    for (const Trouble& each : history.troubles) {
        text << "  " << seconds(history, each.from) << ' ' << each.what << ' ' << each.target;
        if (each.to)
            text << " until " << seconds(history, *each.to);
        text << '\n';
    }
    return text.str();
}

} // namespace rattanrack::tools
