#include "rattanrack/jobs/cell.h"

#include "cell_state.h"
#include "rattanrack/base/milliseconds.h"
#include "rattanrack/jobs/job_codec.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs {

namespace {

constexpr Duration removalPeriod = std::chrono::seconds { 1 };

} // namespace

std::string_view nameOf(JobState state)
{
    constexpr std::string_view names[] = { "queued", "active", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(state)];
}

Cell::Cell(CellSettings settings, std::vector<StoredJob> jobs, WorkerMachines inheritedWorkers, TimePoint now,
    std::int64_t unixMs, const OutstandingLeases& leasesAtHandBack)
    : m_state(std::make_unique<CellState>(std::move(settings)))
{
    CellState& state = *m_state;
    state.takenOverAt = now;
    state.unixMs = unixMs;
    state.firstRun = (state.settings.fence - 1) * runsPerTerm;
    state.storedWorkers = inheritedWorkers;
    state.workersAtTakeover = inheritedWorkers;
    state.inheritedWorkers = std::move(inheritedWorkers);
    state.wasHandedBack = !leasesAtHandBack.empty();
    for (const auto& [worker, machine] : state.inheritedWorkers) {
        const auto known = leasesAtHandBack.find(worker);
        state.inheritedLeaseEnd[worker]
            = now + (known == leasesAtHandBack.end() ? state.settings.inheritedLease : known->second + takeoverSlack);
    }
    for (StoredJob& stored : jobs) {
        auto entry = std::make_unique<JobEntry>(std::move(stored.job), JobProgress { stored.job, stored.progress });
        entry->isTakenOver = true;
        entry->isStored = true;
        entry->storedState = entry->progress.state();
        entry->acceptedAt = now - Duration { (unixMs - entry->job.acceptedAtUnixMs) * 1000 };
        const JobId id = entry->job.id;
        if (!entry->progress.hasEnded()) {
            state.addEvent(JobEvent {
                JobEvent::Kind::TakenOver, id, std::string(nameOf(entry->storedState)), now - entry->acceptedAt });
            state.inheritSuspects(*entry);
        }
        state.addJob(std::move(entry));
    }
}

Cell::~Cell() = default;
Cell::Cell(Cell&&) noexcept = default;
Cell& Cell::operator=(Cell&&) noexcept = default;

JobEntry* CellState::find(const JobId& job)
{
    const auto found = jobs.find(job);
    return found == jobs.end() ? nullptr : found->second.get();
}

const JobEntry* CellState::find(const JobId& job) const
{
    const auto found = jobs.find(job);
    return found == jobs.end() ? nullptr : found->second.get();
}

const QueueSettings* CellState::settingsOf(const QueueId& queue) const
{
    const auto found = queues.find(queue);
    return found == queues.end() ? nullptr : &found->second;
}

void CellState::addJob(std::unique_ptr<JobEntry> entry)
{
    entry->queue = settingsOf(entry->job.queue);
    entry->account = customers.accountOf(entry->job.customer);
    entry->isAmongUnfinished = !entry->progress.hasEnded();
    if (entry->isAmongUnfinished)
        unfinishedJobs.push_back(entry.get());
    const JobId id = entry->job.id;
    jobs.emplace(id, std::move(entry));
}

/// Called before the entry is destroyed.
void CellState::removeFromUnfinished(JobEntry& entry)
{
    if (std::exchange(entry.isAmongUnfinished, false))
        std::erase(unfinishedJobs, &entry);
}

const QueueSettings& CellState::queueOf(const JobEntry& entry)
{
    static const QueueSettings s_unknownQueue;
    return entry.queue ? *entry.queue : s_unknownQueue;
}

int CellState::attemptsOf(const JobEntry& entry)
{
    return entry.queue ? entry.queue->maxAttempts : entry.job.maxAttempts;
}

bool CellState::requiresTickets(const JobEntry& entry)
{
    return entry.queue ? entry.queue->requiresTickets : entry.job.requiresTickets;
}

const Step& CellState::stepOf(const JobEntry& entry, const TaskRef& task)
{
    return entry.job.spec.steps[static_cast<std::size_t>(task.step)];
}

RunEvent& CellState::addRunEvent(RunEvent::Kind kind, const Worker& worker, const TaskRef& task, RunNumber run,
    std::string_view detail, Duration age)
{
    const JobEntry* entry = find(task.job);
    const bool isKnown = entry && entry->progress.contains(task);
    addEvent(RunEvent { kind, task, run, worker.description.id, isKnown ? entry->progress.task(task).failures() : 0,
        inheritedWorkers.size(), std::string(detail), age });
    return std::get<RunEvent>(output.events.back());
}

void CellState::markChanged(JobEntry& entry)
{
    ++entry.revision;
    dirtyJobs.insert(entry.job.id);
}

void Cell::configure(const std::vector<QueueSettings>& queues, const std::vector<Customer>& customers)
{
    m_state->configureCustomers(customers);
    for (const QueueSettings& queue : queues)
        m_state->queues[queue.id] = queue;
    for (JobEntry* entry : m_state->unfinishedJobs) {
        const auto found = m_state->queues.find(entry->job.queue);
        entry->queue = found == m_state->queues.end() ? nullptr : &found->second;
    }
}

bool Cell::isRecovering() const { return m_state->isRecovering; }

std::size_t Cell::workersWaitedFor() const { return m_state->inheritedWorkers.size(); }

void Cell::limitInheritedLeases(TimePoint latestEnd)
{
    if (m_state->wasHandedBack)
        return;
    for (auto& [worker, end] : m_state->inheritedLeaseEnd)
        end = std::min(end, latestEnd);
}

void Cell::onWorkerListSent(const WorkerMachines& workers, TimePoint now)
{
    m_state->transactionSentAt = now;
    std::erase_if(m_state->storedWorkers, [&](const auto& each) { return !workers.contains(each.first); });
}

void Cell::onWorkerListStored(WorkerMachines workers)
{
    m_state->ownershipConfirmedAt = m_state->transactionSentAt;
    m_state->replyToRefusals(m_state->transactionSentAt);
    m_state->storedWorkers = std::move(workers);
}

Acceptance Cell::submit(const Job& job, CallerToken token, TimePoint now)
{
    CellState& state = *m_state;
    if (JobEntry* known = state.find(job.id)) {
        if (known->isStored)
            return Acceptance::Stored;
        (known->revisionInCommit > 0 ? known->callersInCommit : known->waitingCallers).push_back(token);
        return Acceptance::Pending;
    }
    auto entry = std::make_unique<JobEntry>(job, JobProgress { job });
    entry->acceptedAt = now;
    entry->queue = state.settingsOf(job.queue);
    state.recordOfferedLoad(*entry, now);
    if (state.refuseIfHopeless(*entry, token, now))
        return Acceptance::Pending;
    entry->waitingCallers.push_back(token);
    state.markChanged(*entry);
    state.isCommitUrgent = true;
    JobEntry& added = *entry;
    state.addJob(std::move(entry));
    if (added.account)
        added.isBeyondWeight = !added.account->submissions.take(added.account->settings.weight, now);
    return Acceptance::Pending;
}

void CellState::recordOfferedLoad(const JobEntry& entry, TimePoint now)
{
    if (entry.job.spec.schedule.repeatCount > 0)
        return;
    Duration time {};
    std::int64_t work = 0; // In millicores times microseconds.
    for (const Step& step : entry.job.spec.steps) {
        if (step.isLongRunning)
            return;
        const Duration each = runtimes.estimate(entry.job.queue, step.declaredRunTime);
        time += each;
        work += step.count * step.size.processors.count() * each.count();
    }
    if (time > Duration::zero())
        offeredLoad.record(Millicores { work / time.count() }, time, listedCapacity.processors, now);
}

std::optional<Acceptance> Cell::cancel(const JobId& job, CallerToken token, std::int64_t unixMs)
{
    CellState& state = *m_state;
    JobEntry* entry = state.find(job);
    if (!entry)
        return std::nullopt;
    if (!entry->progress.hasEnded()) {
        entry->progress.cancel(unixMs);
        state.markChanged(*entry);
        state.stopJob(*entry, "cancelled");
        state.addEvent(JobEvent { JobEvent::Kind::Ended, job, "cancelled" });
    }
    if (entry->storedRevision == entry->revision)
        return Acceptance::Stored;
    state.isCommitUrgent = true;
    (entry->revisionInCommit == entry->revision ? entry->callersInCommit : entry->waitingCallers).push_back(token);
    return Acceptance::Pending;
}

bool Cell::hasUrgentCommit() const { return m_state->isCommitUrgent; }

bool Cell::needsConfirmation() const
{
    const CellState& state = *m_state;
    const TimePoint latest = std::max(state.transactionSentAt, state.ownershipConfirmedAt);
    const auto isUnconfirmed = [&](const auto& each) {
        const Worker& worker = each.second;
        return worker.isListed && worker.contact == WorkerContact::Responsive && worker.startedAtLatest > latest;
    };
    const bool isRecoveryDue = state.isRecoveryUnconfirmed() && state.releasedWithoutContactAt > latest;
    return isRecoveryDue || state.jobOfRejectedCommit || state.higherFenceSeenAt > latest
        || std::any_of(state.workers.begin(), state.workers.end(), isUnconfirmed);
}

CellOutput Cell::advance(TimePoint now, std::int64_t unixMs, Authority authority)
{
    CellState& state = *m_state;
    if (state.higherFenceSeenAt > state.ownershipConfirmedAt)
        authority = Authority::Unconfirmed;
    const bool mayStart = authority == Authority::Full;
    state.unixMs = unixMs;
    state.checkRecovery(now);
    state.checkUnresponsive(now);
    state.expireCrashEvidence(now);
    state.retryCommands(now, mayStart);
    if (mayStart) {
        state.drainMachines(now);
        state.schedule(now, unixMs);
    }
    state.sendSurvivalChecks(now);
    state.sendPolls(now, authority != Authority::Unconfirmed);
    state.checkMissingRuns(mayStart, now);
    state.reportTrialQueue(now, unixMs);
    if (now >= state.nextRemovalAt) {
        state.nextRemovalAt = now + removalPeriod;
        state.removeOldJobs();
    }
    return takeOutput();
}

CellOutput Cell::takeOutput() { return std::exchange(m_state->output, {}); }

void CellState::removeOldJobs()
{
    for (auto& [id, entry] : jobs) {
        const bool isExpired = entry->progress.hasEnded() && entry->progress.endedAtUnixMs() > 0
            && unixMs - entry->progress.endedAtUnixMs() > milliseconds(settings.keepEnded);
        if (isExpired && entry->isStored && !entry->isMarkedForRemoval && entry->revision == entry->storedRevision) {
            entry->isMarkedForRemoval = true;
            markChanged(*entry);
        }
    }
}

} // namespace rattanrack::jobs
