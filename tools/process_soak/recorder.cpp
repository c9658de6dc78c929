#include "recorder.h"

namespace rattanrack::tools {

namespace {

Ending endingOf(jobs::RunOutcome kind)
{
    switch (kind) {
    case jobs::RunOutcome::Done:
        return Ending::Done;
    case jobs::RunOutcome::Failed:
        return Ending::Failed;
    case jobs::RunOutcome::LeaseExpired:
        return Ending::Lapsed;
    default:
        return Ending::Stopped;
    }
}

} // namespace

Recorder::Recorder(int attempts)
{
    m_history.attempts = attempts;
    m_history.beganAt = now();
}

RunRecord* Recorder::openRun(const jobs::WorkerId& worker, const jobs::TaskRef& task, jobs::RunNumber run)
{
    for (const std::size_t place : m_open) {
        RunRecord& each = m_history.runs[place];
        if (!each.endedAt && each.worker == worker && each.task == task && each.run == run)
            return &each;
    }
    return nullptr;
}

void Recorder::onWorkerStarted(const jobs::WorkerDescription& worker)
{
    const std::lock_guard lock(m_mutex);
    m_history.lives.push_back({ worker.id, worker.pool.value(), now() });
}

void Recorder::onStarted(const jobs::StartCommand& order, bool isLasting)
{
    const std::lock_guard lock(m_mutex);
    m_open.insert(m_history.runs.size());
    m_history.runs.push_back({ order.task, order.run, order.worker, order.fence, isLasting, now() });
    recordPool(order);
}

/// A job runs in the pool that its queue's route named when it was accepted.
void Recorder::recordPool(const jobs::StartCommand& order)
{
    const auto job = m_history.jobs.find(order.task.job);
    if (job == m_history.jobs.end())
        return;
    for (const WorkerLife& life : m_history.lives) {
        if (life.worker == order.worker)
            job->second.pool = life.pool;
    }
}

void Recorder::onStopCommand(const jobs::StopCommand& order, bool isDraining)
{
    const std::lock_guard lock(m_mutex);
    RunRecord* run = openRun(order.worker, order.task, order.run);
    if (!run || run->stopOrderedAt)
        return;
    run->stopOrderedAt = now();
    run->wasDraining = isDraining;
}

void Recorder::onEnded(const jobs::WorkerId& worker, const jobs::EndedRun& end)
{
    const std::lock_guard lock(m_mutex);
    RunRecord* run = openRun(worker, end.task, end.run);
    if (!run)
        return;
    run->endedAt = now();
    run->ending = endingOf(end.outcome);
    run->endNumber = end.sequence;
}

void Recorder::onAcknowledged(const jobs::WorkerId& worker, std::int64_t endNumber)
{
    const std::lock_guard lock(m_mutex);
    for (auto place = m_open.begin(); place != m_open.end();) {
        RunRecord& run = m_history.runs[*place];
        const bool isMeant = run.endedAt && run.worker == worker && run.endNumber == endNumber;
        if (isMeant)
            run.acknowledgedAt = now();
        place = isMeant ? m_open.erase(place) : std::next(place);
    }
}

void Recorder::onLeaseExpired(const jobs::WorkerId& worker)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_open, [&](std::size_t place) {
        return m_history.runs[place].worker == worker && m_history.runs[place].endedAt.has_value();
    });
}

void Recorder::onWorkerLost(const jobs::WorkerId& worker, bool byOrder)
{
    const std::lock_guard lock(m_mutex);
    bool isDraining = false;
    for (DrainNotice& drain : m_history.drains) {
        if (drain.worker != worker || drain.until)
            continue;
        drain.until = now();
        isDraining = true;
    }
    for (auto place = m_open.begin(); place != m_open.end();) {
        RunRecord& run = m_history.runs[*place];
        const bool isMeant = run.worker == worker;
        if (isMeant && !run.endedAt) {
            run.endedAt = now();
            run.ending = byOrder ? Ending::Maintained : Ending::Gone;
            run.wasDraining = run.wasDraining || isDraining;
        }
        place = isMeant ? m_open.erase(place) : std::next(place);
    }
    for (WorkerLife& life : m_history.lives) {
        if (life.worker == worker && !life.to)
            life.to = now();
    }
}

void Recorder::served(const std::string& worker, const std::string& entry)
{
    if (entry.find("\"draining\"") == std::string::npos)
        return;
    const std::lock_guard lock(m_mutex);
    for (const DrainNotice& drain : m_history.drains) {
        if (drain.worker.value() == worker && !drain.until)
            return;
    }
    m_history.drains.push_back({ jobs::WorkerId { worker }, now() });
}

void Recorder::submitted(
    const jobs::JobId& job, int count, bool isLasting, const std::string& pool, bool crashesWorkers)
{
    const std::lock_guard lock(m_mutex);
    JobRecord record { count, isLasting };
    record.pool = pool;
    record.crashesWorkers = crashesWorkers;
    m_history.jobs[job] = std::move(record);
}

void Recorder::accepted(const jobs::JobId& job)
{
    const std::lock_guard lock(m_mutex);
    JobRecord& record = m_history.jobs[job];
    if (!record.acceptedAt)
        record.acceptedAt = now();
}

void Recorder::cancelSent(const jobs::JobId& job)
{
    const std::lock_guard lock(m_mutex);
    m_history.jobs[job].cancelSentAt = now();
}

void Recorder::completedShown(const jobs::JobId& job)
{
    const std::lock_guard lock(m_mutex);
    JobRecord& record = m_history.jobs[job];
    if (!record.completedShownAt)
        record.completedShownAt = now();
}

void Recorder::denied(const std::string& node, const jobs::JobId& job, TimePoint sentAt)
{
    const std::lock_guard lock(m_mutex);
    m_history.denials.push_back({ node, job, sentAt });
}

void Recorder::broke(BrokenCall call)
{
    const std::lock_guard lock(m_mutex);
    m_history.brokenCalls.push_back(std::move(call));
}

void Recorder::shown(const jobs::JobId& job, const std::string& state)
{
    const std::lock_guard lock(m_mutex);
    m_history.jobs[job].lastState = state;
}

std::size_t Recorder::beginTrouble(const std::string& what, const std::string& target, bool isOfNode, bool isPlanned)
{
    const std::lock_guard lock(m_mutex);
    m_history.troubles.push_back({ what, target, isOfNode, isPlanned, now() });
    return m_history.troubles.size() - 1;
}

void Recorder::endTrouble(std::size_t number)
{
    const std::lock_guard lock(m_mutex);
    m_history.troubles[number].to = now();
}

History Recorder::history()
{
    const std::lock_guard lock(m_mutex);
    m_history.endedAt = now();
    return m_history;
}

} // namespace rattanrack::tools
