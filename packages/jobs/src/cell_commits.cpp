#include "cell_state.h"
#include "rattanrack/jobs/job_codec.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

/// Which changes of jobs each transaction of the cell contains, and what follows from its outcome.
namespace rattanrack::jobs {

namespace {

constexpr std::size_t maxRowsInCommit = 90;
constexpr std::size_t maxBytesInCommit = 600'000;
/// After a rejection, so many smaller commits that are stored show that no job was its cause.
constexpr int commitsUntilUnlimited = 100;

std::size_t sizeOf(const std::vector<CellRow>& rows)
{
    return std::accumulate(rows.begin(), rows.end(), std::size_t {},
        [](std::size_t sum, const CellRow& row) { return sum + (row.value ? row.value->size() : 0); });
}

} // namespace

std::vector<CellRow> CellState::rowsOf(const JobEntry& entry)
{
    std::vector<CellRow> rows;
    const JobId& id = entry.job.id;
    const bool isNew = !entry.isStored;
    const bool isRemoved = entry.isMarkedForRemoval;
    if (isNew || isRemoved)
        rows.push_back({ CellRow::Kind::Job, id, isRemoved ? std::nullopt : std::optional { encode(entry.job) } });
    if (entry.revision > 1 || !isNew)
        rows.push_back({ CellRow::Kind::Progress, id,
            isRemoved ? std::nullopt : std::optional { encode(entry.progress.toStored()) } });
    return rows;
}

void CellState::refuseWaitingCallers(JobEntry& entry)
{
    for (const CallerToken token : std::exchange(entry.waitingCallers, {}))
        output.replies.push_back({ token, false });
}

/// The job's rows have not been stored and will not be.
void CellState::returnToUncommitted(const JobId& job)
{
    JobEntry& entry = *find(job);
    entry.revisionInCommit = 0;
    std::move(entry.callersInCommit.begin(), entry.callersInCommit.end(), std::back_inserter(entry.waitingCallers));
    entry.callersInCommit.clear();
    dirtyJobs.insert(job);
}

/// The store rejects the job's rows, and a transaction sent since has proved that they have not been stored.
void CellState::excludeFromCommits(const JobId& job)
{
    returnToUncommitted(job);
    JobEntry& entry = *find(job);
    dirtyJobs.erase(job);
    refuseWaitingCallers(entry);
    addEvent(JobEvent { JobEvent::Kind::NotStorable, job, std::to_string(entry.bytesInCommit) + " bytes" });
    entry.rejectedBytes = entry.bytesInCommit;
    if (entry.isStored)
        return;
    removeFromUnfinished(entry);
    jobs.erase(job);
}

bool Cell::hasUncommittedChanges() const { return !m_state->dirtyJobs.empty() || m_state->jobOfRejectedCommit; }

std::optional<CellCommit> Cell::takeCommit(std::int64_t unixMs)
{
    CellState& state = *m_state;
    if (state.hasCommitInFlight || state.dirtyJobs.empty() || state.jobOfRejectedCommit)
        return std::nullopt;
    CellCommit commit;
    state.isCommitUrgent = false;
    std::size_t bytes = 0;
    auto next = state.dirtyJobs.upper_bound(state.lastJobInCommit);
    while (!state.dirtyJobs.empty()) {
        if (commit.rows.size() + 2 > maxRowsInCommit || bytes > maxBytesInCommit
            || state.jobsInCommit.size() >= state.maxJobsInCommit) {
            state.isCommitUrgent = true;
            break;
        }
        if (next == state.dirtyJobs.end())
            next = state.dirtyJobs.begin();
        const JobId id = *next;
        next = state.dirtyJobs.erase(next);
        state.lastJobInCommit = id;
        JobEntry& entry = *state.find(id);
        entry.progress.recordCompletion(unixMs);
        std::vector<CellRow> rows = state.rowsOf(entry);
        entry.bytesInCommit = sizeOf(rows);
        if (entry.rejectedBytes > 0 && entry.bytesInCommit >= entry.rejectedBytes) {
            state.refuseWaitingCallers(entry);
            continue;
        }
        entry.rejectedBytes = 0;
        bytes += entry.bytesInCommit;
        std::move(rows.begin(), rows.end(), std::back_inserter(commit.rows));
        entry.revisionInCommit = entry.revision;
        entry.stateInCommit = entry.progress.state();
        std::move(entry.waitingCallers.begin(), entry.waitingCallers.end(), std::back_inserter(entry.callersInCommit));
        entry.waitingCallers.clear();
        state.jobsInCommit.insert(id);
    }
    if (commit.rows.empty())
        return std::nullopt;
    state.hasCommitInFlight = true;
    return commit;
}

void Cell::onCommitted(std::int64_t unixMs)
{
    CellState& state = *m_state;
    state.hasCommitInFlight = false;
    const bool isCauseFound = state.jobOfRejectedCommit.has_value();
    if (isCauseFound)
        state.excludeFromCommits(*std::exchange(state.jobOfRejectedCommit, {}));
    if (isCauseFound || ++state.commitsSinceRejection >= commitsUntilUnlimited)
        state.maxJobsInCommit = std::numeric_limits<std::size_t>::max();
    for (const JobId& id : std::exchange(state.jobsInCommit, {})) {
        JobEntry& entry = *state.find(id);
        if (entry.isMarkedForRemoval) {
            state.removeFromUnfinished(entry);
            state.jobs.erase(id);
            continue;
        }
        if (!entry.isStored)
            state.addEvent(JobEvent { JobEvent::Kind::Accepted, id, entry.job.queue.value() });
        const bool hasEnded = isTerminal(entry.stateInCommit) && !isTerminal(entry.storedState);
        if (hasEnded && entry.stateInCommit != JobState::Cancelled)
            state.drainRate.record(entry.declaredWork);
        if (hasEnded)
            state.addEvent(JobEvent { JobEvent::Kind::Ended, id, std::string(nameOf(entry.stateInCommit)),
                Duration { (unixMs - entry.job.acceptedAtUnixMs) * 1000 } });
        entry.isStored = true;
        entry.onStored(std::exchange(entry.revisionInCommit, 0));
        entry.storedState = entry.stateInCommit;
        if (hasEnded && entry.storedState == JobState::Failed)
            state.stopJob(entry, "job failed");
        for (const CallerToken token : std::exchange(entry.callersInCommit, {}))
            state.output.replies.push_back({ token, true });
    }
    state.advanceAllAcks();
}

void Cell::onCommitFailed()
{
    CellState& state = *m_state;
    state.transactionSentAt = state.ownershipConfirmedAt;
    state.hasCommitInFlight = false;
    state.isCommitUrgent = true;
    for (const JobId& id : std::exchange(state.jobsInCommit, {}))
        state.returnToUncommitted(id);
}

void Cell::onCommitRejected()
{
    CellState& state = *m_state;
    state.commitsSinceRejection = 0;
    if (state.jobOfRejectedCommit)
        state.returnToUncommitted(*std::exchange(state.jobOfRejectedCommit, {})); // The owner's row is the cause.
    else if (state.jobsInCommit.size() == 1)
        state.jobOfRejectedCommit = *state.jobsInCommit.begin();
    else
        state.maxJobsInCommit = std::max<std::size_t>(state.jobsInCommit.size() / 2, 1);
    if (state.jobOfRejectedCommit)
        state.jobsInCommit.clear();
    onCommitFailed();
}

void Cell::rejectUncommittedJobs()
{
    CellState& state = *m_state;
    for (auto next = state.jobs.begin(); next != state.jobs.end();) {
        JobEntry& entry = *next->second;
        if (entry.isStored || entry.revisionInCommit > 0) {
            ++next;
            continue;
        }
        state.refuseWaitingCallers(entry);
        state.dirtyJobs.erase(next->first);
        state.removeFromUnfinished(entry);
        next = state.jobs.erase(next);
    }
}

} // namespace rattanrack::jobs
