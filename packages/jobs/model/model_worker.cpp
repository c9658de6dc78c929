#include "model_worker.h"

#include <algorithm>

namespace rattanrack::jobs::model {

std::int64_t ModelWorker::clockMs(TimePoint now) const
{
    return 1000 + static_cast<std::int64_t>(static_cast<double>((now - m_bornAt).count()) * m_clockRate / 1000);
}

void ModelWorker::end(const TaskRef& task, RunOutcome kind, TimePoint now)
{
    const auto run = m_runs.find(task);
    m_ends.push_back({ { ++m_lastEnd, task, run->second.number, kind, {} }, now });
    m_news.push_back({ WorkerNews::Kind::Ended, m_ends.back() });
    m_highest[task] = std::max(m_highest[task], run->second.number);
    m_runs.erase(run);
}

void ModelWorker::advance(TimePoint now)
{
    if (!m_isUp)
        return;
    std::vector<std::pair<TaskRef, RunOutcome>> over;
    const bool hasLapsed = clockMs(now) >= m_leaseUntilMs;
    for (const auto& [task, run] : m_runs) {
        if (!run.isLongRunning && now >= run.endsAt)
            over.emplace_back(task, run.willFail ? RunOutcome::Failed : RunOutcome::Done);
        else if (run.stopsAt != TimePoint {} && now >= run.stopsAt)
            over.emplace_back(task, RunOutcome::Stopped);
        else if (hasLapsed)
            over.emplace_back(task, RunOutcome::LeaseExpired);
    }
    for (const auto& [task, kind] : over)
        end(task, kind, now);
    for (KeptEnd& each : m_ends)
        each.hasLeaseLapsedSince = each.hasLeaseLapsedSince || hasLapsed;
}

void ModelWorker::holdUntil(std::int64_t untilMs, TimePoint now)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs(now) + longestLease.count() / 1000));
}

bool ModelWorker::accepts(Fence fence)
{
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

CommandResult ModelWorker::start(const StartCommand& order, const TaskBehavior& work, bool fails, TimePoint now)
{
    advance(now);
    const auto refuse = [&](RefusalReason refusal) {
        return CommandResult { CommandStatus::Refused, refusal, clockMs(now) };
    };
    if (!accepts(order.fence))
        return refuse(RefusalReason::StaleFence);
    if (order.leaseUntilWorkerMs <= clockMs(now))
        return refuse(RefusalReason::LeaseExpired);
    holdUntil(order.leaseUntilWorkerMs, now);
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.number == order.run)
        return { CommandStatus::Done, RefusalReason::None, clockMs(now) };
    const auto highest = m_highest.find(order.task);
    if (present != m_runs.end() || (highest != m_highest.end() && order.run <= highest->second))
        return refuse(RefusalReason::StaleRun);
    ResourceSize free = m_description.capacity;
    for (const auto& [task, run] : m_runs)
        free -= run.size;
    if (!fits(work.size, free))
        return refuse(RefusalReason::NoCapacity);
    m_runs[order.task] = { order.run, now + work.time, fails || work.alwaysFails, work.isLongRunning, work.size };
    return { CommandStatus::Done, RefusalReason::None, clockMs(now) };
}

bool ModelWorker::isActive(const TaskRef& task, RunNumber run) const
{
    const auto present = m_runs.find(task);
    return present != m_runs.end() && present->second.number == run && present->second.stopsAt == TimePoint {};
}

CommandResult ModelWorker::stop(const StopCommand& order, Duration time, TimePoint now)
{
    advance(now);
    if (!accepts(order.fence))
        return { CommandStatus::Refused, RefusalReason::StaleFence, clockMs(now) };
    const bool isNew = isActive(order.task, order.run);
    if (isNew && time > Duration::zero())
        m_runs.at(order.task).stopsAt = now + time;
    else if (isNew)
        end(order.task, RunOutcome::Stopped, now);
    m_highest[order.task] = std::max(m_highest[order.task], order.run);
    return { CommandStatus::Done, RefusalReason::None, clockMs(now) };
}

PollResult ModelWorker::poll(const PollCommand& order, std::size_t maxEnds, TimePoint now)
{
    advance(now);
    if (!accepts(order.fence))
        return { CommandStatus::Refused, RefusalReason::StaleFence, {} };
    holdUntil(order.leaseUntilWorkerMs, now);
    for (const KeptEnd& each : m_ends) {
        if (each.entry.sequence <= order.ackedThrough)
            m_news.push_back({ WorkerNews::Kind::Acknowledged, each });
    }
    std::erase_if(m_ends, [&](const KeptEnd& each) { return each.entry.sequence <= order.ackedThrough; });
    PollResult answer { CommandStatus::Done, RefusalReason::None,
        { m_description.incarnationUnixMs, clockMs(now), {}, {} }, order.ackedThrough };
    for (std::size_t at = 0; at < std::min(maxEnds, m_ends.size()); ++at)
        answer.report.endedRuns.push_back(m_ends[at].entry);
    answer.report.areEndedRunsComplete = m_ends.size() <= maxEnds;
    for (const auto& [task, run] : m_runs)
        answer.report.running.push_back({ task, run.number, {}, run.isLongRunning ? 100 : 0, 0 });
    return answer;
}

std::vector<EndedRun> ModelWorker::unacknowledgedRuns() const
{
    std::vector<EndedRun> ends;
    for (const KeptEnd& each : m_ends)
        ends.push_back(each.entry);
    return ends;
}

void ModelWorker::crash()
{
    m_isUp = false;
    m_runs.clear();
    m_highest.clear();
    m_ends.clear();
    m_news.clear();
    m_lastEnd = 0;
    m_leaseUntilMs = 0;
    m_fence = 0;
}

void ModelWorker::restart(std::int64_t incarnationUnixMs, TimePoint now)
{
    m_isUp = true;
    m_bornAt = now;
    m_description.incarnationUnixMs = incarnationUnixMs;
    m_description.isDraining = false;
}

} // namespace rattanrack::jobs::model
