#include "rattanrack/jobs/cell.h"

#include "cell_state.h"
#include "rattanrack/base/milliseconds.h"
#include "rattanrack/jobs/job_codec.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs {

namespace {

constexpr std::size_t maxRowsInCommit = 90;
constexpr std::size_t maxBytesInCommit = 600'000;
constexpr Duration forgetPeriod = std::chrono::seconds { 1 };

std::string_view name(JobState state)
{
    constexpr std::string_view names[] = { "queued", "active", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(state)];
}

} // namespace

Cell::Cell(CellSettings settings, std::vector<StoredJob> jobs, WorkerMachines workersOfEarlierOwners, TimePoint now,
    std::int64_t unixMs, const HeldLeases& held)
    : m_state(std::make_unique<CellState>(std::move(settings)))
{
    CellState& state = *m_state;
    state.takenOverAt = now;
    state.unixMs = unixMs;
    state.firstRun = (state.settings.fence - 1) * runsPerTerm;
    state.storedWorkers = workersOfEarlierOwners;
    state.foreignWorkers = std::move(workersOfEarlierOwners);
    for (const auto& [worker, machine] : state.foreignWorkers) {
        const auto known = held.find(worker);
        state.foreignUntil[worker]
            = now + (known == held.end() ? state.settings.foreignLease : known->second + takeoverSlack);
    }
    for (StoredJob& stored : jobs) {
        auto entry = std::make_unique<JobEntry>(std::move(stored.job), JobProgress { stored.job, stored.progress });
        entry->isOld = true;
        entry->isStored = true;
        entry->storedState = entry->progress.state();
        entry->acceptedAt = now - Duration { (unixMs - entry->job.acceptedAtUnixMs) * 1000 };
        const JobId id = entry->job.id;
        if (!entry->progress.hasEnded())
            state.tell(JobEvent {
                JobEvent::Kind::TakenOver, id, std::string(name(entry->storedState)), now - entry->acceptedAt });
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

void CellState::addJob(std::unique_ptr<JobEntry> entry)
{
    const auto queue = queues.find(entry->job.queue);
    entry->queue = queue == queues.end() ? nullptr : &queue->second;
    entry->isAmongOpen = !entry->progress.hasEnded();
    if (entry->isAmongOpen)
        open.push_back(entry.get());
    const JobId id = entry->job.id;
    jobs.emplace(id, std::move(entry));
}

/// Before the entry goes.
void CellState::forgetOpen(JobEntry& entry)
{
    if (std::exchange(entry.isAmongOpen, false))
        std::erase(open, &entry);
}

const QueueSettings& CellState::queueOf(const JobEntry& entry)
{
    static const QueueSettings s_unknownQueue;
    return entry.queue ? *entry.queue : s_unknownQueue;
}

int CellState::attemptsOf(const JobEntry& entry) { return entry.queue ? entry.queue->attempts : entry.job.attempts; }

const Step& CellState::stepOf(const JobEntry& entry, const TaskRef& task)
{
    return entry.job.spec.steps[static_cast<std::size_t>(task.step)];
}

void CellState::tellRun(RunEvent::Kind kind, const Worker& worker, const TaskRef& task, RunNumber run,
    std::string_view detail, Duration age)
{
    const JobEntry* entry = find(task.job);
    const bool isKnown = entry && entry->progress.has(task);
    tell(RunEvent { kind, task, run, worker.description.id, isKnown ? entry->progress.task(task).failures() : 0,
        foreignWorkers.size(), std::string(detail), age });
}

void CellState::changed(JobEntry& entry)
{
    ++entry.revision;
    dirty.insert(entry.job.id);
}

void Cell::configure(const std::vector<QueueSettings>& queues)
{
    for (const QueueSettings& queue : queues)
        m_state->queues[queue.id] = queue;
    for (JobEntry* entry : m_state->open) {
        const auto found = m_state->queues.find(entry->job.queue);
        entry->queue = found == m_state->queues.end() ? nullptr : &found->second;
    }
}

void Cell::setClosing(std::set<MachineId> machines) { m_state->closing = std::move(machines); }

void Cell::workersSent(const WorkerMachines& workers, TimePoint now)
{
    m_state->transactionSentAt = now;
    std::erase_if(m_state->storedWorkers, [&](const auto& each) { return !workers.contains(each.first); });
}

void Cell::workersStored(WorkerMachines workers)
{
    m_state->confirmedAt = m_state->transactionSentAt;
    m_state->storedWorkers = std::move(workers);
}

Acceptance Cell::submit(const Job& job, CallToken token, TimePoint now)
{
    CellState& state = *m_state;
    if (JobEntry* known = state.find(job.id)) {
        if (known->isStored)
            return Acceptance::Stored;
        (known->revisionInCommit > 0 ? known->inCommit : known->waiting).push_back(token);
        return Acceptance::Waiting;
    }
    auto entry = std::make_unique<JobEntry>(job, JobProgress { job });
    entry->acceptedAt = now;
    entry->waiting.push_back(token);
    state.changed(*entry);
    state.isUrgent = true;
    state.noteOffered(*entry, now);
    state.addJob(std::move(entry));
    return Acceptance::Waiting;
}

void CellState::noteOffered(const JobEntry& entry, TimePoint now)
{
    if (entry.job.spec.schedule.times > 0)
        return;
    Duration time {};
    std::int64_t work = 0; // In millicores times microseconds.
    for (const Step& step : entry.job.spec.steps) {
        if (step.isLasting)
            return;
        const Duration each = runtimes.estimate(entry.job.queue, step.estimate);
        time += each;
        work += step.count * step.size.processors.count() * each.count();
    }
    if (time > Duration::zero())
        offered.accept(Millicores { work / time.count() }, time, listedRoom.processors, now);
}

std::optional<Acceptance> Cell::cancel(const JobId& job, CallToken token, std::int64_t unixMs)
{
    CellState& state = *m_state;
    JobEntry* entry = state.find(job);
    if (!entry)
        return std::nullopt;
    if (!entry->progress.hasEnded()) {
        entry->progress.cancel(unixMs);
        state.changed(*entry);
        state.stopAll(*entry, "cancelled");
        state.tell(JobEvent { JobEvent::Kind::Ended, job, "cancelled" });
    }
    if (entry->storedRevision == entry->revision)
        return Acceptance::Stored;
    state.isUrgent = true;
    (entry->revisionInCommit == entry->revision ? entry->inCommit : entry->waiting).push_back(token);
    return Acceptance::Waiting;
}

bool Cell::hasUrgentCommit() const { return m_state->isUrgent; }

bool Cell::wantsConfirmation() const
{
    const CellState& state = *m_state;
    const TimePoint latest = std::max(state.transactionSentAt, state.confirmedAt);
    const auto isYoung = [&](const auto& each) {
        const Worker& worker = each.second;
        return worker.isListed && worker.contact == WorkerContact::InTouch && worker.bornAtLatest > latest;
    };
    return state.fenceSeenAt > latest || std::any_of(state.workers.begin(), state.workers.end(), isYoung);
}

bool Cell::hasUncommitted() const { return !m_state->dirty.empty(); }

std::optional<CellCommit> Cell::takeCommit(std::int64_t unixMs)
{
    CellState& state = *m_state;
    if (state.isCommitOnItsWay || state.dirty.empty())
        return std::nullopt;
    CellCommit commit;
    state.isUrgent = false;
    std::size_t bytes = 0;
    for (auto next = state.dirty.begin(); next != state.dirty.end();) {
        if (commit.rows.size() + 2 > maxRowsInCommit || bytes > maxBytesInCommit) {
            state.isUrgent = true;
            break;
        }
        const JobId id = *next;
        next = state.dirty.erase(next);
        JobEntry& entry = *state.find(id);
        entry.progress.noteCompletion(unixMs);
        const bool isNew = !entry.isStored;
        if (isNew || entry.isForgotten) {
            auto value = entry.isForgotten ? std::nullopt : std::optional { encode(entry.job) };
            bytes += value ? value->size() : 0;
            commit.rows.push_back({ CellRow::Kind::Job, id, std::move(value) });
        }
        if (entry.revision > 1 || !isNew) {
            auto value = entry.isForgotten ? std::nullopt : std::optional { encode(entry.progress.stored()) };
            bytes += value ? value->size() : 0;
            commit.rows.push_back({ CellRow::Kind::Progress, id, std::move(value) });
        }
        entry.revisionInCommit = entry.revision;
        entry.stateInCommit = entry.progress.state();
        std::move(entry.waiting.begin(), entry.waiting.end(), std::back_inserter(entry.inCommit));
        entry.waiting.clear();
        state.inCommit.insert(id);
    }
    state.isCommitOnItsWay = true;
    return commit;
}

void Cell::onCommitted(std::int64_t unixMs)
{
    CellState& state = *m_state;
    state.isCommitOnItsWay = false;
    for (const JobId& id : std::exchange(state.inCommit, {})) {
        JobEntry& entry = *state.find(id);
        if (entry.isForgotten) {
            state.forgetOpen(entry);
            state.jobs.erase(id);
            continue;
        }
        if (!entry.isStored)
            state.tell(JobEvent { JobEvent::Kind::Accepted, id, entry.job.queue.value() });
        if (isLast(entry.stateInCommit) && !isLast(entry.storedState))
            state.tell(JobEvent { JobEvent::Kind::Ended, id, std::string(name(entry.stateInCommit)),
                Duration { (unixMs - entry.job.acceptedAtUnixMs) * 1000 } });
        entry.isStored = true;
        entry.storedRevision = std::exchange(entry.revisionInCommit, 0);
        entry.storedState = entry.stateInCommit;
        for (const CallToken token : std::exchange(entry.inCommit, {}))
            state.output.replies.push_back({ token, true });
    }
    state.advanceAllAcks();
}

void Cell::onCommitFailed()
{
    CellState& state = *m_state;
    state.transactionSentAt = state.confirmedAt;
    state.isCommitOnItsWay = false;
    state.isUrgent = true;
    for (const JobId& id : std::exchange(state.inCommit, {})) {
        JobEntry& entry = *state.find(id);
        entry.revisionInCommit = 0;
        std::move(entry.inCommit.begin(), entry.inCommit.end(), std::back_inserter(entry.waiting));
        entry.inCommit.clear();
        state.dirty.insert(id);
    }
}

void Cell::refuseWaiting()
{
    CellState& state = *m_state;
    for (auto next = state.jobs.begin(); next != state.jobs.end();) {
        JobEntry& entry = *next->second;
        if (entry.isStored || entry.revisionInCommit > 0) {
            ++next;
            continue;
        }
        for (const CallToken token : entry.waiting)
            state.output.replies.push_back({ token, false });
        state.dirty.erase(next->first);
        state.forgetOpen(entry);
        next = state.jobs.erase(next);
    }
}

CellOutput Cell::step(TimePoint now, std::int64_t unixMs, Authority authority)
{
    CellState& state = *m_state;
    if (state.fenceSeenAt > state.confirmedAt)
        authority = Authority::InDoubt;
    const bool mayStart = authority == Authority::Full;
    state.unixMs = unixMs;
    state.checkRecovery(now);
    state.checkSilent(now);
    state.sendAgain(now, mayStart);
    if (mayStart) {
        state.emptyClosing(now);
        state.schedule(now, unixMs);
    }
    state.sendLooks(now, authority != Authority::InDoubt);
    if (now >= state.forgetAt) {
        state.forgetAt = now + forgetPeriod;
        state.forgetOldJobs();
    }
    return takeOutput();
}

CellOutput Cell::takeOutput() { return std::exchange(m_state->output, {}); }

void CellState::forgetOldJobs()
{
    for (auto& [id, entry] : jobs) {
        const bool isOver = entry->progress.hasEnded() && entry->progress.endedAtUnixMs() > 0
            && unixMs - entry->progress.endedAtUnixMs() > milliseconds(settings.keepEnded);
        if (isOver && entry->isStored && !entry->isForgotten && entry->revision == entry->storedRevision) {
            entry->isForgotten = true;
            changed(*entry);
        }
    }
}

} // namespace rattanrack::jobs
