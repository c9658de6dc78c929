#include "cell_simulation.h"

#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/lease_clock.h"
#include "rattanrack/jobs/node_process.h"

#include <algorithm>
#include <utility>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickPeriod = 10ms;
constexpr Duration listPeriod = 700ms;
constexpr Duration storeLatency = 10ms;
constexpr Duration commitInterval = 40ms;
constexpr Duration renewalPeriod = 1s;
/// An owner without a successful transaction for this long assumes that it has been replaced.
constexpr Duration maxConfirmationAge = 5s;
constexpr Duration leaseLength = 4500ms;
constexpr Duration maxListAge = 1500ms;
constexpr Duration restartTime = 600ms; ///< From the end of a node's process until it announces itself again.
constexpr const char* queueName = "queue";
const PoolId poolName { "pool" };

CellSettings settingsOf(Fence term, Duration longestLease)
{
    return { poolName, term, leaseLength, inheritedLease(maxConfirmationAge, leaseLength), 120s, longestStop,
        longestLease };
}

std::string addressOf(int node) { return "10.0.1." + std::to_string(node) + ":1"; }

} // namespace

CellSimulation::CellSimulation(std::uint64_t seed, int workers, const FaultRates& faults, Duration longestLease)
    : m_random(seed)
    , m_faults(faults)
    , m_longestLease(longestLease)
    , m_isCapacityUnenforced(faults.isCapacityUnenforced)
{
    for (int number = 0; number < workers; ++number) {
        const std::string name = std::to_string(number);
        WorkerDescription description { WorkerId { "w" + name }, MachineId { "m" + name }, poolName, "10.0.0.1:1" };
        description.capacity = wholeCapacity;
        description.rack = "r" + std::to_string(number / 4);
        description.labels = { "a", description.rack };
        description.incarnationUnixMs = ++m_incarnations;
        m_workers.emplace_back(description, 0.98 + 0.02 * static_cast<double>(number % 3) / 2, m_longestLease);
        m_workers.back().setEnforcesCapacity(!faults.isCapacityUnenforced);
    }
    takeOver();
    tick();
}

bool CellSimulation::happens(double probability)
{
    return probability > 0 && std::uniform_real_distribution<> { 0, 1 }(m_random) < probability;
}

Duration CellSimulation::randomBetween(Duration least, Duration most)
{
    return Duration { std::uniform_int_distribution<std::int64_t> { least.count(), most.count() }(m_random) };
}

void CellSimulation::schedule(Duration delay, std::function<void()> work)
{
    m_events.push({ m_now + delay, ++m_sequence, std::move(work) });
}

void CellSimulation::run(Duration time)
{
    const TimePoint until = m_now + time;
    while (!m_events.empty() && m_events.top().at <= until) {
        const ScheduledEvent event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.work();
    }
    m_now = until;
}

void CellSimulation::tick()
{
    schedule(tickPeriod, [this] { tick(); });
    for (ModelWorker& worker : m_workers) {
        worker.advance(m_now);
        processWorkerEvents(worker);
    }
    m_startSurvival.onWorkersUp(static_cast<std::size_t>(std::count_if(m_workers.begin(), m_workers.end(),
                                    [](const ModelWorker& worker) { return worker.isUp(); })),
        tickPeriod);
    if (m_hasGangs)
        advanceGangs();
    injectFaults(tickPeriod);
    std::vector<int> owners;
    for (const auto& [number, owner] : m_owners) {
        if (m_now >= owner.stalledUntil)
            owners.push_back(number);
    }
    for (const int number : owners) {
        processInbox(number);
        if (findOwner(number))
            runPass(number);
    }
}

void CellSimulation::runOnLoop(int number, std::function<void(Owner&)> work)
{
    Owner* owner = findOwner(number);
    if (!owner)
        return;
    if (m_now >= owner->stalledUntil && owner->inbox.empty())
        return work(*owner);
    owner->inbox.push_back([this, number, work = std::move(work)] {
        if (Owner* present = findOwner(number))
            work(*present);
    });
}

void CellSimulation::processInbox(int number)
{
    while (findOwner(number) && !findOwner(number)->inbox.empty()) {
        const auto work = std::move(findOwner(number)->inbox.front());
        findOwner(number)->inbox.pop_front();
        work();
    }
}

CellSimulation::Owner* CellSimulation::findOwner(int number)
{
    const auto found = m_owners.find(number);
    return found == m_owners.end() ? nullptr : &found->second;
}

const CellSimulation::Owner* CellSimulation::presentOwner() const
{
    const auto found = m_owners.find(m_ownerNumber);
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
    Owner& owner = m_owners[++m_ownerNumber];
    m_clockErrors[m_ownerNumber] = randomError(m_faults.longestClockError);
    owner.term = ++m_term;
    m_takenOverAt[m_ownerNumber] = m_now;
    owner.cell = std::make_unique<Cell>(settingsOf(m_term, m_longestLease), std::move(stored), m_workerRow, m_now,
        unixMs(m_ownerNumber), std::exchange(m_outstandingLeasesRow, {}));
    owner.cell->configure({ { QueueId { queueName }, poolName, 0, maxAttempts, 1.6, 600ms } });
    owner.cell->setDrainingMachines(m_drainingMachines);
    owner.confirmedAt = m_now;
    const NodeId previous = m_processes[m_ownerNumber - 1];
    const NodeId process = startProcess(m_ownerNumber);
    if (std::exchange(m_areNodesRestarting, false)) {
        owner.ownership = std::make_unique<Ownership>(process, addressOf(m_ownerNumber), m_now);
        owner.ownership->onPreviousOwner(poolName, { previous, m_term - 1, m_earlierGrantsLeftRow }, m_now);
        observeRestarts();
    }
    listWorkers(m_ownerNumber, false);
}

/// The id of a process is the name of its node and, after a hyphen, when it started.
NodeId CellSimulation::startProcess(int node)
{
    m_processes[node] = processId("node" + std::to_string(node), unixMs(node));
    return m_processes[node];
}

/// The announcements of the restarted processes of earlier owners reach the owner's node.
void CellSimulation::observeRestarts()
{
    for (const auto& ended : m_ownerEndedAt) {
        const int node = ended.first;
        const NodeId process = startProcess(node);
        const Duration untilAnnounced = std::max(Duration {}, ended.second + restartTime - m_now);
        schedule(untilAnnounced, [this, process, node, reader = m_ownerNumber] {
            if (Owner* present = findOwner(reader))
                present->ownership->onAnnouncement({ process, addressOf(node), 1 }, m_now);
        });
    }
}

void CellSimulation::listWorkers(int number, bool mayTakeLong)
{
    Owner* owner = findOwner(number);
    if (!owner || owner->isListReadInFlight)
        return;
    if (owner->isReplaced && !happens(m_faults.listReadsWhenReplaced))
        return;
    const std::vector<WorkerDescription> listed = listedEntries();
    const auto deliver = [this, number, listed, requestedAt = m_now] {
        runOnLoop(number, [this, listed, requestedAt](Owner& receiver) {
            receiver.isListReadInFlight = false;
            receiver.listRequestedAt = requestedAt;
            receiver.cell->setWorkers(listed, requestedAt, m_now);
        });
    };
    owner->isListReadInFlight = mayTakeLong && happens(m_faults.slowListReads);
    if (owner->isListReadInFlight)
        schedule(randomBetween(1s, 4s), deliver);
    else
        deliver();
}

/// Same rule as in the cell's host: an owner that gets no response from the store can't have a newer list, and needs
/// none unless the workers' capacity may have shrunk unnoticed.
Authority CellSimulation::authorityOf(const Owner& owner) const
{
    if (owner.mayBeHandedBack || m_now - owner.confirmedAt >= maxConfirmationAge)
        return Authority::Unconfirmed;
    const bool mustListBeRecent = !owner.isReplaced || m_isCapacityUnenforced;
    const bool isListTooOld = mustListBeRecent && m_now - owner.listRequestedAt > maxListAge;
    return owner.isHandingBack || isListTooOld ? Authority::RenewOnly : Authority::Full;
}

void CellSimulation::submit(const Job& job, const std::vector<TaskBehavior>& behaviorOfSteps)
{
    m_jobs[job.id] = job;
    m_behaviors[job.id] = behaviorOfSteps;
    for (const Step& step : job.spec.steps)
        m_hasGangs = m_hasGangs || step.isGang;
    m_oracle.onSubmitted(job, m_now);
    if (!presentOwner() || presentOwner()->isHandingBack)
        return;
    const CallerToken token = ++m_lastToken;
    switch (presentOwner()->cell->submit(job, token, m_now)) {
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
    if (!presentOwner() || presentOwner()->isHandingBack)
        return;
    m_oracle.onCancelled(job);
    const CallerToken token = ++m_lastToken;
    const auto acceptance = presentOwner()->cell->cancel(job, token, unixMs(m_ownerNumber));
    if (acceptance == Acceptance::Pending)
        m_cancels[token] = job;
}

/// Latest time at which an owner before this one may have granted a lease.
TimePoint CellSimulation::latestGrantBefore(int number) const
{
    TimePoint latest {};
    for (int earlier = 1; earlier < number; ++earlier) {
        const auto ended = m_ownerEndedAt.find(earlier);
        const TimePoint longest = m_takenOverAt.at(earlier + 1) + maxConfirmationAge;
        latest = std::max(latest, ended == m_ownerEndedAt.end() ? longest : std::min(ended->second, longest));
    }
    return latest;
}

/// The same as the owner's node knows it.
TimePoint CellSimulation::latestObservedGrantBefore(const Owner& owner, int number) const
{
    if (!owner.ownership)
        return latestGrantBefore(number);
    return owner.ownership->latestEarlierGrant(poolName, owner.term, m_takenOverAt.at(number), maxConfirmationAge);
}

void CellSimulation::endOwner(int number)
{
    if (m_owners.erase(number) > 0)
        m_ownerEndedAt[number] = m_now;
}

void CellSimulation::runPass(int number)
{
    if (m_now.time_since_epoch().count() % listPeriod.count() < tickPeriod.count())
        listWorkers(number, true);
    Owner& owner = *findOwner(number);
    if (owner.cell->isRecovering())
        owner.cell->limitInheritedLeases(latestObservedGrantBefore(owner, number) + inheritedLease({}, leaseLength));
    processOutput(owner.cell->advance(m_now, unixMs(number), authorityOf(owner)), number);
    commit(number);
}

void CellSimulation::processOutput(const CellOutput& output, int number)
{
    for (const CellEvent& event : output.events) {
        if (m_observer)
            m_observer(m_now, number, event);
    }
    for (const WorkerCommand& command : output.commands)
        dispatch(command, number);
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
    Owner& owner = *findOwner(number);
    if (owner.isCommitting || m_now - owner.lastCommit < commitInterval)
        return;
    const auto commit = owner.cell->takeCommit(unixMs(number));
    const auto workers = owner.cell->workersInUse();
    const bool isRenewalDue = m_now - owner.lastCommit >= renewalPeriod || owner.cell->needsConfirmation();
    if (!commit && workers == m_workerRow && !isRenewalDue)
        return;
    owner.isCommitting = true;
    owner.lastCommit = m_now;
    owner.cell->onWorkerListSent(workers, m_now);
    schedule(std::max(storeLatency, m_storeStalledUntil - m_now), [this, commit, workers, number, sentAt = m_now] {
        const Owner* sender = findOwner(number);
        if (!sender || sender->isReplaced)
            return; // The owner row has changed: nothing is written, and the sender gets no result.
        const bool isFailed = happens(m_faults.failedCommits);
        if (!isFailed)
            write(commit, workers, number);
        runOnLoop(number, [this, number, commit, workers, isFailed, sentAt](Owner& committer) {
            committer.isCommitting = false;
            if (isFailed) {
                if (commit)
                    committer.cell->onCommitFailed();
                return;
            }
            committer.confirmedAt = sentAt;
            committer.cell->onWorkerListStored(workers);
            if (commit)
                committer.cell->onCommitted(unixMs(number));
        });
    });
}

void CellSimulation::write(const std::optional<CellCommit>& commit, const WorkerMachines& workers, int number)
{
    for (const CellRow& row : commit ? commit->rows : std::vector<CellRow> {}) {
        auto& rows = row.kind == CellRow::Kind::Job ? m_jobRows : m_progressRows;
        if (row.value)
            rows[row.job] = *row.value;
        else
            rows.erase(row.job);
        if (row.value && row.kind == CellRow::Kind::Progress)
            recordStoredProgress(row.job, *row.value);
    }
    m_workerRow = workers;
    m_earlierGrantsLeftRow = std::max(latestObservedGrantBefore(m_owners.at(number), number) - m_now, Duration {});
}

ModelWorker* CellSimulation::find(const WorkerId& id)
{
    const auto found = std::find_if(
        m_workers.begin(), m_workers.end(), [&](const ModelWorker& each) { return each.description().id == id; });
    return found == m_workers.end() || !found->isUp() ? nullptr : &*found;
}

bool CellSimulation::isPartitioned(const WorkerId& id) const
{
    const auto partition = m_partitionedUntil.find(id);
    return partition != m_partitionedUntil.end() && m_now < partition->second;
}

/// A partitioned worker is reached by no owner.
LinkState CellSimulation::linkState(int owner, const WorkerId& worker) const
{
    return isPartitioned(worker) ? LinkState::Down : m_ownerLinks.state(owner, worker, m_now);
}

const TaskBehavior& CellSimulation::behaviorOf(const TaskRef& task) const
{
    return m_behaviors.at(task.job).at(static_cast<std::size_t>(task.step));
}

} // namespace rattanrack::jobs::model
