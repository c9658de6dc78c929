#include "model_worker.h"

#include <algorithm>

namespace rattanrack::jobs::model {

std::int64_t ModelWorker::clockMs(TimePoint now) const
{
    const double sinceStart = static_cast<double>((now - m_startedAt).count()) * m_clockRate;
    return (m_initialClock.count() + static_cast<std::int64_t>(sinceStart)) / 1000;
}

void ModelWorker::endRun(const TaskRef& task, RunOutcome outcome, TimePoint now)
{
    const auto run = m_runs.find(task);
    m_keptRuns.push_back({ { ++m_lastSequence, task, run->second.number, outcome, {} }, now });
    m_events.push_back({ ModelWorkerEvent::Kind::Ended, m_keptRuns.back() });
    m_highestRuns[task] = std::max(m_highestRuns[task], run->second.number);
    m_runs.erase(run);
}

void ModelWorker::advance(TimePoint now)
{
    if (!m_isUp)
        return;
    std::vector<std::pair<TaskRef, RunOutcome>> finished;
    const bool hasLeaseExpired = clockMs(now) >= m_leaseUntilMs;
    for (const auto& [task, run] : m_runs) {
        if (!run.isLongRunning && now >= run.endsAt)
            finished.emplace_back(task, run.willFail ? RunOutcome::Failed : RunOutcome::Done);
        else if (run.stopsAt != TimePoint {} && now >= run.stopsAt)
            finished.emplace_back(task, RunOutcome::Stopped);
        else if (hasLeaseExpired)
            finished.emplace_back(task, RunOutcome::LeaseExpired);
    }
    for (const auto& [task, outcome] : finished)
        endRun(task, outcome, now);
    for (KeptRun& each : m_keptRuns)
        each.hasLeaseExpiredSinceEnd = each.hasLeaseExpiredSinceEnd || hasLeaseExpired;
}

void ModelWorker::extendLease(std::int64_t untilMs, TimePoint now)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs(now) + m_longestLease.count() / 1000));
}

bool ModelWorker::acceptsFence(Fence fence)
{
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

CommandResult ModelWorker::start(const StartCommand& command, const TaskBehavior& behavior, bool fails, TimePoint now)
{
    advance(now);
    const auto refuse = [&](RefusalReason refusal) {
        return CommandResult { CommandStatus::Refused, refusal, clockMs(now) };
    };
    if (!acceptsFence(command.fence))
        return refuse(RefusalReason::StaleFence);
    if (command.leaseUntilWorkerMs <= clockMs(now))
        return refuse(RefusalReason::LeaseExpired);
    extendLease(command.leaseUntilWorkerMs, now);
    const auto present = m_runs.find(command.task);
    if (present != m_runs.end() && present->second.number == command.run)
        return { CommandStatus::Done, RefusalReason::None, clockMs(now) };
    const auto highest = m_highestRuns.find(command.task);
    if (present != m_runs.end() || (highest != m_highestRuns.end() && command.run <= highest->second))
        return refuse(RefusalReason::StaleRun);
    ResourceSize free = m_capacity;
    free -= used();
    if (m_enforcesCapacity && !fits(behavior.size, free))
        return refuse(RefusalReason::NoCapacity);
    m_runs[command.task]
        = { command.run, now + behavior.time, fails || behavior.alwaysFails, behavior.isLongRunning, behavior.size };
    return { CommandStatus::Done, RefusalReason::None, clockMs(now) };
}

ResourceSize ModelWorker::used() const
{
    ResourceSize sum;
    for (const auto& [task, run] : m_runs)
        sum += run.size;
    return sum;
}

bool ModelWorker::isActive(const TaskRef& task, RunNumber run) const
{
    const auto present = m_runs.find(task);
    return present != m_runs.end() && present->second.number == run && present->second.stopsAt == TimePoint {};
}

CommandResult ModelWorker::stop(const StopCommand& command, Duration time, TimePoint now)
{
    advance(now);
    if (!acceptsFence(command.fence))
        return { CommandStatus::Refused, RefusalReason::StaleFence, clockMs(now) };
    const bool wasActive = isActive(command.task, command.run);
    if (wasActive && time > Duration::zero())
        m_runs.at(command.task).stopsAt = now + time;
    else if (wasActive)
        endRun(command.task, RunOutcome::Stopped, now);
    m_highestRuns[command.task] = std::max(m_highestRuns[command.task], command.run);
    return { CommandStatus::Done, RefusalReason::None, clockMs(now) };
}

PollResult ModelWorker::poll(const PollCommand& command, std::size_t maxEndedRuns, TimePoint now)
{
    advance(now);
    if (!acceptsFence(command.fence))
        return { CommandStatus::Refused, RefusalReason::StaleFence, {} };
    extendLease(command.leaseUntilWorkerMs, now);
    for (const KeptRun& each : m_keptRuns) {
        if (each.entry.sequence <= command.ackedThrough)
            m_events.push_back({ ModelWorkerEvent::Kind::Acknowledged, each });
    }
    std::erase_if(m_keptRuns, [&](const KeptRun& each) { return each.entry.sequence <= command.ackedThrough; });
    PollResult result { CommandStatus::Done, RefusalReason::None,
        { m_description.incarnationUnixMs, clockMs(now), {}, {} }, command.ackedThrough };
    for (std::size_t at = 0; at < std::min(maxEndedRuns, m_keptRuns.size()); ++at)
        result.report.endedRuns.push_back(m_keptRuns[at].entry);
    result.report.areEndedRunsComplete = m_keptRuns.size() <= maxEndedRuns;
    for (const auto& [task, run] : m_runs)
        result.report.running.push_back({ task, run.number, {}, run.isLongRunning ? 100 : 0, 0 });
    return result;
}

std::vector<EndedRun> ModelWorker::unacknowledgedRuns() const
{
    std::vector<EndedRun> endedRuns;
    for (const KeptRun& each : m_keptRuns)
        endedRuns.push_back(each.entry);
    return endedRuns;
}

void ModelWorker::crash()
{
    m_isUp = false;
    m_runs.clear();
    m_highestRuns.clear();
    m_keptRuns.clear();
    m_events.clear();
    m_lastSequence = 0;
    m_leaseUntilMs = 0;
    m_fence = 0;
}

void ModelWorker::restart(std::int64_t incarnationUnixMs, TimePoint now, Duration initialClock)
{
    m_initialClock = initialClock;
    m_isUp = true;
    m_startedAt = now;
    m_description.incarnationUnixMs = incarnationUnixMs;
    m_description.isDraining = false;
    publishCapacity();
}

} // namespace rattanrack::jobs::model
