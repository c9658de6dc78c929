#include "rattanrack/node/cell_host.h"

#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/lease_clock.h"

#include <map>
#include <utility>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration coalescing = 6ms; ///< Events that come within it are decided on together.
constexpr Duration busyPeriod = 30ms;
constexpr Duration idlePeriod = 250ms;
constexpr Duration urgentCommitPause = 15ms; ///< Between transactions that somebody waits for.
constexpr Duration commitPause = 120ms;
constexpr Duration renewalPeriod = 1s;
constexpr Duration ownerTrust = 5s; ///< Without a transaction for this long, this node takes itself for replaced.
constexpr Duration knowledgeTrust = 2s; ///< Jobs that another owner accepts may be asked for soon afterwards.

jobs::CellSettings settingsOf(const PoolId& pool, jobs::Fence fence, const CellTimeLimits& times)
{
    const Duration inheritedLease = jobs::inheritedLease(ownerTrust, times.longestLease);
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

} // namespace

Result<CellTakeover> takeOverCell(jobs::PartStore& store, const Clock& clock, const PoolId& cell, const NodeId& self)
{
    BOOST_LEAF_AUTO(taken, takeOverPart(store, clock, cell, self));
    BOOST_LEAF_AUTO(jobRows, jobs::readAll(store, jobs::jobTable, cell.value()));
    BOOST_LEAF_AUTO(progressRows, jobs::readAll(store, jobs::progressTable, cell.value()));
    std::map<std::string, const std::string*> progressByJob;
    for (const jobs::PartRow& row : progressRows.rows)
        progressByJob[row.row.key] = &row.value;
    CellTakeover takeover { std::move(taken), {} };
    for (const jobs::PartRow& row : jobRows.rows) {
        BOOST_LEAF_AUTO(job, jobs::decodeJob(row.value));
        jobs::StoredJob stored { std::move(job), {} };
        const auto progress = progressByJob.find(row.row.key);
        if (progress != progressByJob.end()) {
            BOOST_LEAF_AUTO(decoded, jobs::decodeProgress(*progress->second));
            stored.progress = std::move(decoded);
        }
        takeover.jobs.push_back(std::move(stored));
    }
    return takeover;
}

CellHost::CellHost(Parts parts, const PoolId& pool, const CellTimeLimits& times, CellTakeover takeover)
    : m_parts(std::move(parts))
    , m_pool(pool)
    , m_cell(settingsOf(pool, takeover.partTakeover.part.term(), times), std::move(takeover.jobs),
          std::move(takeover.partTakeover.workers), m_parts.clock.now(), wallClockMilliseconds(),
          takeover.partTakeover.outstandingLeases)
    , m_longestListAge(times.longestListAge)
    , m_isAlive(std::make_shared<bool>(true))
    , m_writer({ m_parts.control, m_parts.clock, m_parts.storeThreads, m_parts.store },
          std::move(takeover.partTakeover), writerCallbacks())
    , m_links(m_parts.control, m_parts.clock, m_parts.workerThreads, m_parts.connector, linkCallbacks())
{
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

void CellHost::setWorkers(const WorkerList& list)
{
    std::map<jobs::WorkerId, std::string> addresses;
    std::vector<jobs::WorkerDescription> own;
    for (const jobs::WorkerDescription& worker : list.workers) {
        if (worker.pool != m_pool)
            continue;
        addresses[worker.id] = worker.address;
        own.push_back(worker);
    }
    m_listRequestedAt = list.requestedAt;
    m_cell.setWorkers(own, list.requestedAt, m_parts.clock.now());
    m_links.setAddresses(addresses, m_cell.knownWorkers());
    wake();
}

void CellHost::setDrainingMachines(std::set<jobs::MachineId> machines)
{
    m_cell.setDrainingMachines(std::move(machines));
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

bool CellHost::isJobListComplete() const { return m_parts.clock.now() - m_writer.confirmedAt() < knowledgeTrust; }

void CellHost::handBack()
{
    m_isHandingBack = true;
    wake();
}

void CellHost::wake() { schedulePass(coalescing); }

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
    if (m_writer.mayBeHandedBack() || m_parts.clock.now() - m_writer.confirmedAt() >= ownerTrust)
        return jobs::Authority::Unconfirmed;
    return m_isHandingBack || isListTooOld() ? jobs::Authority::RenewOnly : jobs::Authority::Full;
}

/// Since the store was last in reach, workers can't have told anybody that they leave.
bool CellHost::isListTooOld() const
{
    const TimePoint until = m_writer.isStoreReachable() ? m_parts.clock.now() : m_writer.confirmedAt();
    return until - m_listRequestedAt > m_longestListAge;
}

void CellHost::runPass()
{
    if (m_writer.isOver())
        return;
    const TimePoint begunAt = m_parts.clock.now();
    handleOutput(m_cell.advance(begunAt, wallClockMilliseconds(), authority()));
    commitIfDue();
    m_passScheduler.recordPass(begunAt, m_parts.clock.now());
    if (!m_writer.isOver())
        schedulePass(m_cell.unfinishedJobs() > 0 ? busyPeriod : idlePeriod);
}

void CellHost::handleOutput(jobs::CellOutput output)
{
    for (jobs::WorkerCommand& order : output.commands)
        m_links.send(std::move(order));
    for (const jobs::CallerReply& reply : output.replies)
        m_parts.onReply(reply.token, reply.isStored);
    for (const jobs::AdviceRequest& question : output.adviceRequests)
        requestAdvice(question);
    for (const jobs::CellEvent& event : output.events)
        handleEvent(event);
}

void CellHost::requestAdvice(const jobs::AdviceRequest& question)
{
    const auto tell = [this, question](const jobs::AdviceResponse& answer) {
        m_cell.onAdvice(answer, m_parts.clock.now());
        wake();
    };
    const bool isAsked = m_parts.advisor && m_parts.advisorThread->submit([this, question, tell, alive = m_isAlive] {
        auto answer = m_parts.advisor->advise(question);
        m_parts.control.post([alive, tell, answer = std::move(answer)] {
            if (*alive)
                tell(answer);
        });
    });
    if (!isAsked)
        m_cell.onAdvice({ question.step }, m_parts.clock.now());
}

void CellHost::handleEvent(const jobs::CellEvent& event)
{
    const std::string name = m_parts.log.write(m_pool, m_writer.term(), event);
    m_parts.metrics.increment("rattanrack_cell_events_total", { { "event", name } });
    if (const auto* ofRun = std::get_if<jobs::RunEvent>(&event))
        recordRunEvent(*ofRun);
}

void CellHost::recordRunEvent(const jobs::RunEvent& event)
{
    if (event.kind == jobs::RunEvent::Kind::Starting)
        m_parts.loadMonitor.recordStart(event.age);
    if (event.kind == jobs::RunEvent::Kind::NotStarted)
        m_parts.metrics.increment("rattanrack_starts_without_run_total", { { "reason", event.detail } });
}

WorkerLinks::Callbacks CellHost::linkCallbacks()
{
    const auto take = [this](const auto& order, const jobs::CommandResult& answer) {
        m_parts.loadMonitor.recordCommandResult(answer);
        m_cell.onResult(order, answer, m_parts.clock.now());
        wake();
    };
    const auto takeLook = [this](const auto& order, const auto& answer, TimePoint sentAt) {
        m_cell.onResult(order, answer, sentAt, m_parts.clock.now());
        wake();
    };
    return { take, take, take, takeLook };
}

PartWriter::Callbacks CellHost::writerCallbacks()
{
    return { [this] { onCommitStored(); }, [this] { onCommitNotStored(); },
        [this] { m_parts.control.post(guarded([onLost = m_parts.onLost] { onLost(); })); } }; // It ends this host.
}

void CellHost::commitIfDue()
{
    m_writer.poll();
    const Duration sinceLast = m_parts.clock.now() - m_writer.sentAt();
    if (!m_writer.isFree() || sinceLast < urgentCommitPause)
        return;
    auto workers = m_cell.workersInUse();
    const bool haveWorkersChanged = workers != m_writer.workersWritten();
    const bool isRenewalDue = sinceLast >= renewalPeriod || m_isHandingBack || m_cell.needsConfirmation();
    const bool isDue = isRenewalDue || haveWorkersChanged || m_cell.hasUrgentCommit() || sinceLast >= commitPause;
    if (!isDue)
        return;
    const auto commit = m_cell.takeCommit(wallClockMilliseconds());
    if (!commit && !haveWorkersChanged && !isRenewalDue)
        return;
    m_cell.onWorkerListSent(workers, m_parts.clock.now());
    const bool isLast = m_isHandingBack && !m_cell.hasUncommittedChanges();
    auto held = isLast ? std::optional { m_cell.outstandingLeases(m_parts.clock.now()) } : std::nullopt;
    m_writer.write(commit ? rowsOf(*commit) : std::vector<jobs::RowWrite> {}, std::move(workers), std::move(held));
}

void CellHost::onCommitStored()
{
    m_cell.onWorkerListStored(m_writer.workersWritten());
    m_cell.onCommitted(wallClockMilliseconds());
    if (m_writer.isOver())
        handleOutput(m_cell.takeOutput());
    wake();
}

void CellHost::onCommitNotStored()
{
    m_cell.onCommitFailed();
    m_cell.rejectUncommittedJobs();
    wake();
}

} // namespace rattanrack::node
