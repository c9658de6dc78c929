#include "rattanrack/node/cell_host.h"

#include "rattanrack/base/log.h"
#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/lease_clock.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

/// Events within this time are decided on in one pass.
constexpr Duration coalescingTime = 6ms;
constexpr Duration busyPeriod = 30ms;
constexpr Duration idlePeriod = 250ms;
/// Minimum time between two transactions if something waits for the second one.
constexpr Duration urgentCommitPause = 15ms;
constexpr Duration commitPause = 120ms;
/// Without a successful transaction for this long, this node assumes that another node has replaced it as the owner.
constexpr Duration ownershipTimeout = 5s;
/// For this long after a confirmed transaction, the job list is complete. This is shorter than ownershipTimeout, since
/// a job that another owner accepts may be queried soon afterwards.
constexpr Duration jobListTimeout = 2s;

jobs::CellSettings settingsOf(const PoolId& pool, jobs::Fence fence, const CellTimeLimits& times)
{
    const Duration inheritedLease = jobs::inheritedLease(ownershipTimeout, times.leaseLength);
    return { pool, fence, times.leaseLength, inheritedLease, times.keepEnded, times.longestStop, times.longestLease };
}

std::vector<jobs::RowWrite> rowsOf(const jobs::CellCommit& commit)
{
    std::vector<jobs::RowWrite> rows;
    for (const jobs::CellRow& row : commit.rows) {
        const char* table = row.kind == jobs::CellRow::Kind::Job ? jobs::jobTable : jobs::progressTable;
        rows.push_back({ { table, row.job.value() }, row.value });
    }
    return rows;
}

/// A job whose rows can't be read, so that it is unknown which of its tasks have run: it keeps its id and never runs.
jobs::StoredJob unreadableJob(const std::string& id)
{
    jobs::StoredJob stored { { jobs::JobId { id }, {}, 0, { {}, { {} }, {} } }, {} };
    stored.progress.isFailed = true;
    stored.progress.endedAtUnixMs = wallClockMilliseconds();
    return stored;
}

jobs::StoredJob decodeStoredJob(const PoolId& cell, const jobs::PartRow& row, const std::string* progress)
{
    return handle(
        [&]() -> Result<jobs::StoredJob> {
            BOOST_LEAF_AUTO(job, jobs::decodeJob(row.value));
            jobs::StoredJob stored { std::move(job), {} };
            if (progress) {
                BOOST_LEAF_AUTO(decoded, jobs::decodeProgress(*progress));
                stored.progress = std::move(decoded);
            }
            return stored;
        },
        [&](const Error& error) {
            logEvent("job.unreadable",
                { { "cell", cell.value() }, { "job", row.row.key }, { "error", describe(error) } }, LogLevel::Error);
            return unreadableJob(row.row.key);
        });
}

} // namespace

Result<CellTakeover> takeOverCell(jobs::PartStore& store, const Clock& clock, const PoolId& cell, const NodeId& self)
{
    BOOST_LEAF_AUTO(partTakeover, takeOverPart(store, clock, cell, self));
    return readCell(store, std::move(partTakeover), cell);
}

Result<CellTakeover> readCell(jobs::PartStore& store, PartTakeover partTakeover, const PoolId& cell)
{
    BOOST_LEAF_AUTO(jobRows, jobs::readAll(store, jobs::jobTable, cell.value()));
    BOOST_LEAF_AUTO(progressRows, jobs::readAll(store, jobs::progressTable, cell.value()));
    std::map<std::string, const std::string*> progressByJob;
    for (const jobs::PartRow& row : progressRows.rows)
        progressByJob[row.row.key] = &row.value;
    BOOST_LEAF_AUTO(closedQueues, jobs::readClosedQueues(store, cell));
    BOOST_LEAF_AUTO(assignments, jobs::readQueueAssignments(store));
    CellTakeover takeover { std::move(partTakeover), {}, std::move(closedQueues), std::move(assignments) };
    for (const jobs::PartRow& row : jobRows.rows) {
        const auto progress = progressByJob.find(row.row.key);
        takeover.jobs.push_back(
            decodeStoredJob(cell, row, progress == progressByJob.end() ? nullptr : progress->second));
    }
    return takeover;
}

jobs::PreviousOwner previousOwner(const PartTakeover& takeover)
{
    const Duration left = takeover.earlierGrantsLeft.value_or(ownershipTimeout);
    return { takeover.previousHolder, takeover.part.term() - 1, std::clamp(left, Duration {}, ownershipTimeout) };
}

CellHost::CellHost(Parts parts, const PoolId& pool, const CellTimeLimits& times, CellTakeover takeover)
    : m_parts(std::move(parts))
    , m_pool(pool)
    , m_cell(settingsOf(pool, takeover.partTakeover.part.term(), times), std::move(takeover.jobs),
          std::move(takeover.partTakeover.workers), m_parts.clock.now(), wallClockMilliseconds(),
          takeover.partTakeover.outstandingLeases)
    , m_queues(pool, std::move(takeover.closedQueues))
    , m_longestListAge(times.longestListAge)
    , m_leaseLength(times.leaseLength)
    , m_takenOverAt(m_parts.clock.now())
    , m_earlierGrantsEndAt(m_takenOverAt + ownershipTimeout)
    , m_isAlive(std::make_shared<bool>(true))
    , m_writer({ m_parts.control, m_parts.clock, m_parts.storeThreads, m_parts.store },
          std::move(takeover.partTakeover), writerCallbacks())
    , m_links(m_parts.control, m_parts.clock, m_parts.workerThreads, m_parts.connector, linkCallbacks())
    , m_quotas(
          { m_parts.control, m_parts.clock, m_parts.metrics, m_parts.storeThreads, m_parts.store, [this] { wake(); } },
          pool, m_writer.term())
{
    m_cell.setMachinesDrainedByEarlierOwners(m_writer.drainedMachinesWritten(), m_takenOverAt);
    m_queues.setAssignments(takeover.assignments);
    wake();
}

CellHost::~CellHost() { *m_isAlive = false; }

ControlLoop::Work CellHost::guarded(ControlLoop::Work work) const
{
    return [isAlive = m_isAlive, work = std::move(work)] {
        if (*isAlive)
            work();
    };
}

void CellHost::configure(const jobs::Configuration& configuration)
{
    m_cell.configure(configuration.queuesOf(m_pool), configuration.customers);
    m_enforcesCapacity = configuration.enforcesCapacity(m_pool);
    const std::vector<PoolId> cells = configuration.cellPools();
    m_quotas.configure({ configuration.version, cells.size(), std::binary_search(cells.begin(), cells.end(), m_pool) });
}

void CellHost::setWorkers(const WorkerList& list)
{
    if (list.requestedAt < m_listRequestedAt)
        return;
    std::map<jobs::WorkerId, std::string> addresses;
    for (const jobs::WorkerDescription& worker : list.workers) {
        if (worker.pool == m_pool)
            addresses[worker.id] = worker.address;
    }
    m_listRequestedAt = list.requestedAt;
    m_cell.setWorkers(list.workers, list.requestedAt, m_parts.clock.now());
    m_links.setAddresses(addresses, m_cell.knownWorkers());
    reportWorkersWithoutRoom();
    wake();
}

void CellHost::setDrainingMachines(std::set<jobs::MachineId> machines)
{
    m_cell.setDrainingMachines(std::move(machines));
}

jobs::DrainedMachines CellHost::drainedMachines() const
{
    const bool isConfirmed = m_parts.clock.now() - m_writer.confirmedAt() < jobs::drainedMachinesTimeout;
    return isConfirmed ? m_cell.drainedMachines() : jobs::DrainedMachines {};
}

void CellHost::limitEarlierGrants(const jobs::Ownership& ownership)
{
    const TimePoint latestGrant
        = ownership.latestEarlierGrant(m_pool, m_writer.term(), m_takenOverAt, ownershipTimeout);
    m_earlierGrantsEndAt = std::min(m_earlierGrantsEndAt, latestGrant);
    if (!m_cell.isRecovering())
        return;
    m_cell.limitInheritedLeases(m_earlierGrantsEndAt + jobs::inheritedLease({}, m_leaseLength));
    reportRecovery();
}

jobs::Acceptance CellHost::submit(const jobs::Job& job, jobs::CallerToken token)
{
    const bool isKnown = m_cell.state(job.id).has_value();
    if (!isKnown && (m_isHandingBack || !m_writer.isStoreReachable()))
        return jobs::Acceptance::Refused;
    const auto acceptance = m_cell.submit(job, token, m_parts.clock.now());
    wake();
    return acceptance;
}

std::optional<jobs::Acceptance> CellHost::cancel(const jobs::JobId& job, jobs::CallerToken token)
{
    if (m_isHandingBack)
        return jobs::Acceptance::Refused;
    const auto acceptance = m_cell.cancel(job, token, wallClockMilliseconds());
    wake();
    return acceptance;
}

bool CellHost::isJobListComplete() const { return m_parts.clock.now() - m_writer.confirmedAt() < jobListTimeout; }

void CellHost::handBack()
{
    m_isHandingBack = true;
    wake();
}

void CellHost::wake() { schedulePass(coalescingTime); }

void CellHost::schedulePass(Duration delay)
{
    const auto at = m_passScheduler.request(m_parts.clock.now() + delay);
    if (!at)
        return;
    m_parts.control.at(Deadline { *at }, guarded([this, at = *at] {
        if (m_passScheduler.tryBegin(at))
            runPass();
    }));
}

jobs::Authority CellHost::authority() const
{
    if (m_writer.mayBeHandedBack() || m_parts.clock.now() - m_writer.confirmedAt() >= ownershipTimeout)
        return jobs::Authority::Unconfirmed;
    return m_isHandingBack || isListTooOld() ? jobs::Authority::RenewOnly : jobs::Authority::Full;
}

/// Whether the worker list is too old for runs to start on it. While the store is unreachable, the age at the last
/// confirmed transaction counts: workers can't have announced since then that they leave. Their capacity may have
/// shrunk since, which matters where they start whatever they are told to start.
bool CellHost::isListTooOld() const
{
    const bool isAgeUntilNow = m_writer.isStoreReachable() || !m_enforcesCapacity;
    const TimePoint until = isAgeUntilNow ? m_parts.clock.now() : m_writer.confirmedAt();
    return until - m_listRequestedAt > m_longestListAge;
}

void CellHost::runPass()
{
    if (m_writer.isOver())
        return;
    const TimePoint startedAt = m_parts.clock.now();
    if (!m_isHandingBack)
        m_quotas.update(m_cell);
    handleOutput(m_cell.advance(startedAt, wallClockMilliseconds(), authority()));
    claimQueuesIfDue();
    commitIfDue();
    m_passScheduler.recordPass(startedAt, m_parts.clock.now());
    if (!m_writer.isOver())
        schedulePass(m_cell.unfinishedJobs() > 0 ? busyPeriod : idlePeriod);
}

void CellHost::handleOutput(jobs::CellOutput output)
{
    for (jobs::WorkerCommand& command : output.commands)
        m_links.send(std::move(command));
    for (const jobs::CallerReply& reply : output.replies)
        m_parts.onReply(reply);
    for (const jobs::AdviceRequest& request : output.adviceRequests)
        requestAdvice(request);
    for (const jobs::CellEvent& event : output.events)
        handleEvent(event);
}

void CellHost::requestAdvice(const jobs::AdviceRequest& request)
{
    const auto deliver = [this, request](const jobs::AdviceResponse& response) {
        m_cell.onAdvice(response, m_parts.clock.now());
        wake();
    };
    const bool isSubmitted
        = m_parts.advisor && m_parts.advisorThread->submit([this, request, deliver, alive = m_isAlive] {
              auto response = m_parts.advisor->advise(request);
              m_parts.control.post([alive, deliver, response = std::move(response)] {
                  if (*alive)
                      deliver(response);
              });
          });
    if (!isSubmitted)
        m_cell.onAdvice({ request.step }, m_parts.clock.now());
}

WorkerLinks::Callbacks CellHost::linkCallbacks()
{
    const auto onResult = [this](const auto& command, const jobs::CommandResult& result) {
        m_parts.loadMonitor.recordCommandResult(result);
        m_cell.onResult(command, result, m_parts.clock.now());
        wake();
    };
    const auto onPollResult = [this](const auto& command, const auto& result, TimePoint sentAt) {
        m_cell.onResult(command, result, sentAt, m_parts.clock.now());
        wake();
    };
    return { onResult, onResult, onResult, onPollResult };
}

PartWriter::Callbacks CellHost::writerCallbacks()
{
    return { .onStored = [this] { onCommitStored(); },
        .onNotStored = [this] { onCommitNotStored(); },
        .onRejected = [this] { onCommitRejected(); },
        .onStoreLost =
            [this] {
                m_cell.rejectUncommittedJobs();
                wake();
            },
        .onLost =
            [this] {
                reportReplaced();
                m_parts.control.post(guarded([onLost = m_parts.onLost] { onLost(); })); // Destroys this host.
            } };
}

void CellHost::commitIfDue()
{
    m_writer.poll();
    const Duration sinceLast = m_parts.clock.now() - m_writer.sentAt();
    if (!m_writer.isFree() || sinceLast < urgentCommitPause)
        return;
    auto workers = m_cell.workersInUse();
    auto drained = m_cell.drainedMachinesToStore(m_parts.clock.now());
    const bool haveWorkersChanged
        = workers != m_writer.workersWritten() || drained != m_writer.drainedMachinesWritten();
    const bool isRefusalDue = m_cell.hasUnconfirmedRefusals() && sinceLast >= commitPause;
    const bool isRenewalDue
        = sinceLast >= jobs::ownerRenewalPeriod || m_isHandingBack || m_cell.needsConfirmation() || isRefusalDue;
    const auto closableQueues = this->closableQueues();
    const bool isDue = isRenewalDue || haveWorkersChanged || !closableQueues.empty() || m_cell.hasUrgentCommit()
        || sinceLast >= commitPause;
    if (!isDue)
        return;
    const auto commit = m_cell.takeCommit(wallClockMilliseconds());
    if (!commit && !haveWorkersChanged && !isRenewalDue && closableQueues.empty())
        return;
    auto rows = commit ? rowsOf(*commit) : std::vector<jobs::RowWrite> {};
    for (const jobs::QueueAddress& queue : closableQueues)
        rows.push_back(m_queues.closeQueue(queue));
    const TimePoint now = m_parts.clock.now();
    m_cell.onWorkerListSent(workers, now);
    m_cell.onDrainedMachinesSent(drained);
    m_writer.setDrainedMachines(std::move(drained));
    const bool isLast = m_isHandingBack && !m_cell.hasUncommittedChanges();
    auto leases = isLast ? std::optional { m_cell.outstandingLeases(now) } : std::nullopt;
    m_writer.write(
        std::move(rows), std::move(workers), std::move(leases), std::max(m_earlierGrantsEndAt - now, Duration {}));
}

void CellHost::onCommitStored()
{
    m_queues.onClosesStored();
    m_unconfirmedStarts.onConfirmed(m_writer.confirmedAt());
    m_cell.onWorkerListStored(m_writer.workersWritten());
    m_cell.onDrainedMachinesStored(m_writer.drainedMachinesWritten());
    m_cell.onCommitted(wallClockMilliseconds());
    if (m_writer.isOver())
        handleOutput(m_cell.takeOutput());
    wake();
}

void CellHost::onCommitRejected()
{
    m_parts.metrics.increment("rattanrack_transactions_rejected_total", { { "part", m_pool.value() } });
    m_queues.onClosesNotStored();
    m_cell.onCommitRejected();
    wake();
}

void CellHost::onCommitNotStored()
{
    m_queues.onClosesNotStored();
    m_cell.onCommitFailed();
    m_cell.rejectUncommittedJobs();
    wake();
}

} // namespace rattanrack::node
