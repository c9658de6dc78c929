#include "rule_oracle.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration drainTime = 2s;
constexpr Duration noticeTime = 4500ms; ///< What has not been at work for this long is away, for whatever cause.

} // namespace

std::string describe(const TaskRef& task)
{
    return task.job.value() + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

const Step& RuleOracle::stepOf(const TaskRef& task) const
{
    return m_jobs.at(task.job).spec.steps[static_cast<std::size_t>(task.step)];
}

void RuleOracle::submitted(const Job& job, TimePoint now)
{
    m_jobs[job.id] = job;
    for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
        const Step& spec = job.spec.steps[static_cast<std::size_t>(step)];
        for (int index = 0; spec.isLongRunning && index < spec.count; ++index)
            m_members[{ job.id, 0, step, index }].awaySince = now;
    }
}

void RuleOracle::started(const StartCommand& order, const CarriedOut& how, TimePoint now)
{
    const auto drain = m_drainListedAt.find(order.worker);
    const bool isDrainKnown = drain != m_drainListedAt.end() && how.orderedAt > drain->second + drainTime;
    if (isDrainKnown && how.isByPresentOwner)
        m_violations.push_back("DRAIN: start of " + describe(order.task) + " on " + order.worker.value());
    m_subtasks[order.task].starts.push_back(now);
    checkEnds(order.task);
    if (stepOf(order.task).isLongRunning)
        m_members[order.task] = { order.run, order.worker, true, false, {} };
}

int RuleOracle::awayBeside(const TaskRef& task, TimePoint now) const
{
    int away = 0;
    TaskRef other = task;
    for (other.index = 0; other.index < stepOf(task).count; ++other.index) {
        const Member& member = m_members.at(other);
        const bool isLongAway = !member.isAtWork && now - member.awaySince >= noticeTime;
        const bool isAway = member.isAwayByOrder || isLongAway;
        away += other.index != task.index && isAway ? 1 : 0;
    }
    return away;
}

void RuleOracle::stopped(const StopCommand& order, const CarriedOut& how, TimePoint now)
{
    const auto found = m_members.find(order.task);
    if (found == m_members.end() || found->second.run != order.run || !found->second.isAtWork)
        return;
    Member& member = found->second;
    const bool isExcused
        = how.isHeldUp || m_cancelled.contains(order.task.job) || m_drainListedAt.contains(order.worker);
    const int maxUnavailable = stepOf(order.task).maxUnavailable;
    const int away = awayBeside(order.task, now);
    ++m_stopsAtWork;
    if (!isExcused && maxUnavailable > 0 && away >= maxUnavailable)
        m_violations.push_back("AVAIL: stop of " + describe(order.task) + " run " + std::to_string(order.run) + " on "
            + order.worker.value() + " while " + std::to_string(away) + " others are away");
    member.isAtWork = false;
    member.isAwayByOrder = true;
    member.awaySince = now;
}

void RuleOracle::crashed(const WorkerId& worker, TimePoint now)
{
    for (auto& [task, member] : m_members) {
        if (member.worker != worker || !member.isAtWork)
            continue;
        member.isAtWork = false;
        member.awaySince = now;
    }
}

void RuleOracle::heard(const WorkerNews& news)
{
    const EndedRun& end = news.end.entry;
    if (news.kind == WorkerNews::Kind::Ended) {
        const auto member = m_members.find(end.task);
        if (member == m_members.end() || member->second.run != end.run || !member->second.isAtWork)
            return;
        member->second.isAtWork = false;
        member->second.awaySince = news.end.endedAt;
        return;
    }
    if (news.end.hasLeaseLapsedSince)
        return;
    Subtask& subtask = m_subtasks[end.task];
    if (end.outcome == RunOutcome::Failed)
        subtask.failedAt.emplace(end.run, news.end.endedAt);
    if (end.outcome == RunOutcome::Done)
        subtask.doneAt.emplace(end.run, news.end.endedAt);
    checkEnds(end.task);
}

/// An end counts against the starts after it as soon as it is acknowledged, be that before or after them.
void RuleOracle::checkEnds(const TaskRef& task)
{
    if (stepOf(task).isLongRunning)
        return;
    const Subtask& subtask = m_subtasks[task];
    for (const TimePoint start : subtask.starts) {
        const auto isBefore = [&](const auto& end) { return end.second < start; };
        const auto failures = std::count_if(subtask.failedAt.begin(), subtask.failedAt.end(), isBefore);
        if (failures >= m_attempts)
            m_violations.push_back("BUDGET: start of " + describe(task) + " after " + std::to_string(failures)
                + " failures, at " + std::to_string(start.time_since_epoch().count() / 1000) + " ms");
        if (std::any_of(subtask.doneAt.begin(), subtask.doneAt.end(), isBefore))
            m_violations.push_back("TWICE: start of " + describe(task) + " after it was done, at "
                + std::to_string(start.time_since_epoch().count() / 1000) + " ms");
    }
}

} // namespace rattanrack::jobs::model
