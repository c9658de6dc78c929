#include "cell_simulation.h"

#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/lease_clock.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickPeriod = 10ms;
constexpr Duration listPeriod = 700ms;
constexpr Duration storeTime = 10ms;
constexpr Duration commitPause = 40ms;
constexpr Duration renewalPeriod = 1s;
constexpr Duration ownerTrust = 5s; ///< Without a transaction for this long, an owner takes itself for replaced.
constexpr Duration longestListAge = 1500ms;
constexpr const char* queueName = "queue";
const PoolId poolName { "pool" };

CellSettings settingsOf(Fence term)
{
    return { poolName, term, 4500ms, inheritedLease(ownerTrust, longestLease), 120s, longestStop, longestLease };
}

} // namespace

CellSimulation::CellSimulation(std::uint64_t seed, int workers, const FaultRates& faults)
    : m_random(seed)
    , m_faults(faults)
{
    for (int number = 0; number < workers; ++number) {
        const std::string name = std::to_string(number);
        WorkerDescription description { WorkerId { "w" + name }, MachineId { "m" + name }, poolName, "10.0.0.1:1" };
        description.capacity = { Millicores { 16000 }, Mebibytes { 65536 }, Accelerators { 0 } };
        description.rack = "r" + std::to_string(number / 4);
        description.labels = { "a", description.rack };
        description.incarnationUnixMs = ++m_births;
        m_workers.emplace_back(description, 0.98 + 0.02 * static_cast<double>(number % 3) / 2);
    }
    takeOver();
    tick();
}

bool CellSimulation::happens(double probability)
{
    return probability > 0 && std::uniform_real_distribution<> { 0, 1 }(m_random) < probability;
}

Duration CellSimulation::between(Duration least, Duration most)
{
    return Duration { std::uniform_int_distribution<std::int64_t> { least.count(), most.count() }(m_random) };
}

void CellSimulation::after(Duration delay, std::function<void()> work)
{
    m_events.push({ m_now + delay, ++m_sequence, std::move(work) });
}

void CellSimulation::run(Duration time)
{
    const TimePoint until = m_now + time;
    while (!m_events.empty() && m_events.top().at <= until) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.work();
    }
    m_now = until;
}

void CellSimulation::tick()
{
    after(tickPeriod, [this] { tick(); });
    for (ModelWorker& worker : m_workers) {
        worker.advance(m_now);
        hear(worker);
    }
    misfortune(tickPeriod);
    std::vector<int> owners;
    for (const auto& [number, owner] : m_owners) {
        if (m_now >= owner.stalledUntil)
            owners.push_back(number);
    }
    for (const int number : owners) {
        drainInbox(number);
        if (ownerOf(number))
            pump(number);
    }
}

void CellSimulation::onLoop(int number, std::function<void(Owner&)> work)
{
    Owner* owner = ownerOf(number);
    if (!owner)
        return;
    if (m_now >= owner->stalledUntil && owner->inbox.empty())
        return work(*owner);
    owner->inbox.push_back([this, number, work = std::move(work)] {
        if (Owner* still = ownerOf(number))
            work(*still);
    });
}

void CellSimulation::drainInbox(int number)
{
    while (ownerOf(number) && !ownerOf(number)->inbox.empty()) {
        const auto work = std::move(ownerOf(number)->inbox.front());
        ownerOf(number)->inbox.pop_front();
        work();
    }
}

CellSimulation::Owner* CellSimulation::ownerOf(int number)
{
    const auto found = m_owners.find(number);
    return found == m_owners.end() ? nullptr : &found->second;
}

const CellSimulation::Owner* CellSimulation::present() const
{
    const auto found = m_owners.find(m_owner);
    return found == m_owners.end() || found->second.isReplaced ? nullptr : &found->second;
}

void CellSimulation::takeOver()
{
    std::vector<StoredJob> stored;
    for (const auto& row : m_jobRows) {
        StoredJob job { valueOrNothing([&] { return decodeJob(row.second); }).value(), {} };
        const auto progress = m_progressRows.find(row.first);
        if (progress != m_progressRows.end())
            job.progress = valueOrNothing([&] { return decodeProgress(progress->second); }).value();
        stored.push_back(std::move(job));
    }
    Owner& owner = m_owners[++m_owner];
    owner.term = ++m_term;
    owner.cell = std::make_unique<Cell>(
        settingsOf(m_term), std::move(stored), m_workerRow, m_now, unixMs(), std::exchange(m_heldRow, {}));
    owner.cell->configure({ { QueueId { queueName }, poolName, 0, attempts, 1.6, 600ms } });
    owner.cell->setDrainingMachines(m_closing);
    owner.confirmedAt = m_now;
    listWorkers(m_owner, false);
}

void CellSimulation::listWorkers(int number, bool mayTakeLong)
{
    Owner* owner = ownerOf(number);
    if (!owner || owner->isReplaced || owner->isListOnItsWay)
        return;
    std::vector<WorkerDescription> listed;
    for (const ModelWorker& worker : m_workers) {
        if (worker.isUp())
            listed.push_back(worker.description());
    }
    std::erase_if(m_ghosts, [&](const Ghost& ghost) { return m_now >= ghost.until; });
    for (const Ghost& ghost : m_ghosts) {
        if (!find(ghost.description.id))
            listed.push_back(ghost.description);
    }
    const auto deliver = [this, number, listed, askedAt = m_now] {
        onLoop(number, [this, listed, askedAt](Owner& reader) {
            reader.isListOnItsWay = false;
            reader.listRequestedAt = askedAt;
            reader.cell->setWorkers(listed, askedAt, m_now);
        });
    };
    owner->isListOnItsWay = mayTakeLong && happens(m_faults.staleLists);
    if (owner->isListOnItsWay)
        after(between(1s, 4s), deliver);
    else
        deliver();
}

/// As the cell's host has it: an owner that the store does not answer can't have a younger list.
Authority CellSimulation::authorityOf(const Owner& owner) const
{
    if (owner.mayBeHandedBack || m_now - owner.confirmedAt >= ownerTrust)
        return Authority::Unconfirmed;
    const bool isListTooOld = !owner.isReplaced && m_now - owner.listRequestedAt > longestListAge;
    return owner.isHandingBack || isListTooOld ? Authority::RenewOnly : Authority::Full;
}

void CellSimulation::submit(const Job& job, const std::vector<TaskBehavior>& workOfSteps)
{
    m_jobs[job.id] = job;
    m_work[job.id] = workOfSteps;
    m_oracle.submitted(job, m_now);
    if (!present() || present()->isHandingBack)
        return;
    const CallerToken token = ++m_lastToken;
    switch (present()->cell->submit(job, token, m_now)) {
    case Acceptance::Stored:
        m_accepted.emplace(job.id, m_now);
        break;
    case Acceptance::Pending:
        m_submissions[token] = job.id;
        break;
    case Acceptance::Refused:
        break;
    }
}

void CellSimulation::cancel(const JobId& job)
{
    if (!present() || present()->isHandingBack)
        return;
    m_oracle.cancelled(job);
    const CallerToken token = ++m_lastToken;
    const auto acceptance = present()->cell->cancel(job, token, unixMs());
    if (acceptance == Acceptance::Pending)
        m_cancels[token] = job;
}

void CellSimulation::pump(int number)
{
    if (m_now.time_since_epoch().count() % listPeriod.count() < tickPeriod.count())
        listWorkers(number, true);
    Owner& owner = *ownerOf(number);
    take(owner.cell->advance(m_now, unixMs(), authorityOf(owner)), number);
    commit(number);
}

void CellSimulation::take(const CellOutput& output, int number)
{
    for (const CellEvent& event : output.events) {
        if (m_watcher)
            m_watcher(m_now, number, event);
    }
    for (const WorkerCommand& order : output.commands)
        perform(order, number);
    for (const CallerReply& reply : output.replies) {
        if (!reply.isStored)
            continue;
        if (const auto submission = m_submissions.find(reply.token); submission != m_submissions.end())
            m_accepted.emplace(submission->second, m_now);
        if (const auto cancelled = m_cancels.find(reply.token); cancelled != m_cancels.end())
            m_cancelled.emplace(cancelled->second, m_now);
    }
}

void CellSimulation::commit(int number)
{
    Owner& owner = *ownerOf(number);
    if (owner.isCommitting || m_now - owner.lastCommit < commitPause)
        return;
    const auto commit = owner.cell->takeCommit(unixMs());
    const auto workers = owner.cell->workersInUse();
    const bool isRenewalDue = m_now - owner.lastCommit >= renewalPeriod || owner.cell->needsConfirmation();
    if (!commit && workers == m_workerRow && !isRenewalDue)
        return;
    owner.isCommitting = true;
    owner.lastCommit = m_now;
    owner.cell->onWorkerListSent(workers, m_now);
    after(std::max(storeTime, m_storeStalledUntil - m_now), [this, commit, workers, number, sentAt = m_now] {
        const Owner* sender = ownerOf(number);
        if (!sender || sender->isReplaced)
            return; // Its row has changed hands: nothing is written, and no answer comes.
        const bool isFailed = happens(m_faults.failedCommits);
        if (!isFailed)
            write(commit, workers);
        onLoop(number, [this, commit, workers, isFailed, sentAt](Owner& writer) {
            writer.isCommitting = false;
            if (isFailed) {
                if (commit)
                    writer.cell->onCommitFailed();
                return;
            }
            writer.confirmedAt = sentAt;
            writer.cell->onWorkerListStored(workers);
            if (commit)
                writer.cell->onCommitted(unixMs());
        });
    });
}

void CellSimulation::write(const std::optional<CellCommit>& commit, const WorkerMachines& workers)
{
    for (const CellRow& row : commit ? commit->rows : std::vector<CellRow> {}) {
        auto& rows = row.kind == CellRow::Kind::Job ? m_jobRows : m_progressRows;
        if (row.value)
            rows[row.job] = *row.value;
        else
            rows.erase(row.job);
        if (row.value && row.kind == CellRow::Kind::Progress)
            noteStored(row.job, *row.value);
    }
    m_workerRow = workers;
}

ModelWorker* CellSimulation::find(const WorkerId& id)
{
    const auto found = std::find_if(
        m_workers.begin(), m_workers.end(), [&](const ModelWorker& each) { return each.description().id == id; });
    return found == m_workers.end() || !found->isUp() ? nullptr : &*found;
}

bool CellSimulation::isCut(const WorkerId& id) const
{
    const auto cut = m_cutUntil.find(id);
    return cut != m_cutUntil.end() && m_now < cut->second;
}

const TaskBehavior& CellSimulation::workOf(const TaskRef& task) const
{
    return m_work.at(task.job).at(static_cast<std::size_t>(task.step));
}

} // namespace rattanrack::jobs::model
