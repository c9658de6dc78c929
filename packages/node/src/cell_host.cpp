#include "rattanrack/node/cell_host.h"

#include "rattanrack/base/log.h"
#include "rattanrack/jobs/job_codec.h"

#include <map>
#include <thread>
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
constexpr Duration storePause = 100ms; ///< After a transaction that did not succeed.
constexpr double clockSlack = 1.03; ///< Workers' clocks may be slow.
constexpr Duration takeoverSlack = 500ms;
constexpr int takeoverTries = 8;

Duration foreignLease(Duration leaseLength)
{
    const auto stretched
        = Duration { static_cast<std::int64_t>(static_cast<double>(leaseLength.count()) * clockSlack) };
    return ownerTrust + stretched + takeoverSlack;
}

jobs::CellSettings settingsOf(const PoolId& pool, jobs::Fence fence, const CellTimes& times)
{
    return { pool, fence, times.leaseLength, foreignLease(times.leaseLength), times.keepEnded };
}

Result<jobs::RowVersion> become(jobs::PartStore& store, jobs::OwnedPart& part, const jobs::WorkerMachines& workers)
{
    part.take({}, workers);
    for (int tries = 0; tries < takeoverTries; ++tries) {
        const jobs::TransactionOutcome outcome = store.commit(part.transaction());
        switch (part.settle(outcome)) {
        case jobs::OwnedOutcome::Done:
            return outcome.version;
        case jobs::OwnedOutcome::Lost:
            return fail(ErrorCode::Conflict, "cell.take_over", part.transaction().part);
        case jobs::OwnedOutcome::Again:
            return fail(ErrorCode::Unavailable, "cell.take_over", part.transaction().part, outcome.detail);
        case jobs::OwnedOutcome::Unsettled:
            std::this_thread::sleep_for(storePause);
            break;
        }
    }
    return fail(ErrorCode::OutcomeUnknown, "cell.take_over", part.transaction().part);
}

Result<std::vector<jobs::PartRow>> readAll(jobs::PartStore& store, const PoolId& cell, const char* table)
{
    std::vector<jobs::PartRow> all;
    jobs::RowRange range { table, cell.value(), {} };
    while (true) {
        BOOST_LEAF_AUTO(page, store.read(range));
        std::move(page.rows.begin(), page.rows.end(), std::back_inserter(all));
        if (!page.hasMore || all.empty())
            return all;
        range.from = all.back().row.key + '\0';
    }
}

} // namespace

Result<Takeover> takeOver(jobs::PartStore& store, const PoolId& cell, const NodeId& self)
{
    BOOST_LEAF_AUTO(ownerRows, store.read({ jobs::ownerTable, cell.value(), {} }));
    std::optional<jobs::OwnerRow> found;
    jobs::RowVersion version = 0;
    for (const jobs::PartRow& row : ownerRows.rows) {
        if (row.row.key != jobs::ownerKey)
            continue;
        BOOST_LEAF_AUTO(decoded, jobs::decodeOwnerRow(row.value));
        found = std::move(decoded);
        version = row.version;
    }
    Takeover takeover { { cell, self, found, version }, found ? found->workers : jobs::WorkerMachines {}, {} };
    BOOST_LEAF_CHECK(become(store, takeover.part, takeover.workers));
    BOOST_LEAF_AUTO(jobRows, readAll(store, cell, jobs::jobTable));
    BOOST_LEAF_AUTO(progressRows, readAll(store, cell, jobs::progressTable));
    std::map<std::string, const std::string*> progressByJob;
    for (const jobs::PartRow& row : progressRows)
        progressByJob[row.row.key] = &row.value;
    for (const jobs::PartRow& row : jobRows) {
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

CellHost::CellHost(Parts parts, const PoolId& pool, const CellTimes& times, Takeover takeover)
    : m_parts(std::move(parts))
    , m_pool(pool)
    , m_part(std::move(takeover.part))
    , m_cell(settingsOf(pool, m_part.term(), times), std::move(takeover.jobs), std::move(takeover.workers),
          m_parts.clock.now(), wallClockMilliseconds())
    , m_links(m_parts.control, m_parts.clock, m_parts.connector,
          { [this](const auto& order, const auto& answer) {
               m_cell.onAnswer(order, answer, m_parts.clock.now());
               wake();
           },
              [this](const auto& order, const auto& answer) {
                  m_cell.onAnswer(order, answer, m_parts.clock.now());
                  wake();
              },
              [this](const auto& order, const auto& answer) {
                  m_cell.onAnswer(order, answer, m_parts.clock.now());
                  wake();
              },
              [this](const auto& order, const auto& answer, TimePoint sentAt) {
                  m_cell.onAnswer(order, answer, sentAt, m_parts.clock.now());
                  wake();
              } })
    , m_isAlive(std::make_shared<bool>(true))
    , m_confirmedAt(m_parts.clock.now())
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

void CellHost::setWorkers(const std::vector<jobs::WorkerDescription>& workers)
{
    std::map<jobs::WorkerId, std::string> addresses;
    std::vector<jobs::WorkerDescription> own;
    for (const jobs::WorkerDescription& worker : workers) {
        if (worker.pool != m_pool)
            continue;
        addresses[worker.id] = worker.address;
        own.push_back(worker);
    }
    m_links.setAddresses(addresses);
    m_cell.setWorkers(own, m_parts.clock.now());
    wake();
}

void CellHost::setClosing(std::set<jobs::MachineId> machines) { m_cell.setClosing(std::move(machines)); }

jobs::Acceptance CellHost::submit(jobs::Job job, jobs::CallToken token)
{
    if (m_isHandingBack || !m_isStoreInReach)
        return jobs::Acceptance::Refused;
    const auto acceptance = m_cell.submit(std::move(job), token, m_parts.clock.now());
    wake();
    return acceptance;
}

std::optional<jobs::Acceptance> CellHost::cancel(const jobs::JobId& job, jobs::CallToken token)
{
    const auto acceptance = m_cell.cancel(job, token, wallClockMilliseconds());
    wake();
    return acceptance;
}

void CellHost::handBack()
{
    m_isHandingBack = true;
    wake();
}

void CellHost::wake()
{
    if (std::exchange(m_isPumpPlanned, true))
        return;
    m_parts.control.at(Deadline::after(m_parts.clock.now(), coalescing), guarded([this] {
        m_isPumpPlanned = false;
        pump();
    }));
}

bool CellHost::mayStart() const { return !m_isHandingBack && m_parts.clock.now() - m_confirmedAt < ownerTrust; }

void CellHost::pump()
{
    if (m_isLost)
        return;
    handleOutput(m_cell.step(m_parts.clock.now(), wallClockMilliseconds(), mayStart()));
    commitIfDue();
    if (m_isLost || m_isPumpPlanned)
        return;
    m_isPumpPlanned = true;
    const Duration period = m_cell.openJobs() > 0 ? busyPeriod : idlePeriod;
    m_parts.control.at(Deadline::after(m_parts.clock.now(), period), guarded([this] {
        m_isPumpPlanned = false;
        pump();
    }));
}

void CellHost::handleOutput(jobs::CellOutput output)
{
    for (jobs::Order& order : output.orders)
        m_links.send(std::move(order));
    for (const jobs::CallReply& reply : output.replies)
        m_parts.onReply(reply.token, reply.isStored);
    for (const jobs::AdviceQuestion& question : output.questions)
        ask(question);
    for (const jobs::CellEvent& event : output.events)
        log(event);
}

void CellHost::ask(const jobs::AdviceQuestion& question)
{
    const auto tell = [this, question](const jobs::AdviceAnswer& answer) {
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

void CellHost::log(const jobs::CellEvent& event)
{
    constexpr const char* names[]
        = { "job.accepted", "job.ended", "run.ended", "worker.silent", "worker.back", "fence.seen" };
    const char* name = names[static_cast<std::size_t>(event.kind)];
    logEvent(name,
        { { "cell", m_pool.value() }, { "subject", event.subject }, { "detail", event.detail },
            { "ageMs", event.age.count() / 1000 } });
    m_parts.metrics.increment("rattanrack_cell_events_total", { { "event", name } });
    if (event.kind == jobs::CellEvent::Kind::FenceSeen)
        m_committedAt = {}; // Somebody has a higher term: the next transaction tells.
}

void CellHost::commitIfDue()
{
    const TimePoint now = m_parts.clock.now();
    if (now < m_tryAgainAt)
        return;
    if (m_part.isOnItsWay()) {
        if (std::exchange(m_tryAgainAt, {}) != TimePoint {})
            sendCommit();
        return;
    }
    const Duration sinceLast = now - m_committedAt;
    if (sinceLast < urgentCommitPause)
        return;
    const auto workers = m_cell.workersInUse();
    const bool haveWorkersChanged = workers != m_part.workersWritten();
    const bool isRenewalDue = sinceLast >= renewalPeriod;
    const bool isDue = m_cell.hasUrgentCommit() || sinceLast >= commitPause || m_isHandingBack;
    if (!isDue && !haveWorkersChanged)
        return;
    auto commit = m_cell.takeCommit(wallClockMilliseconds());
    if (!commit && !haveWorkersChanged && !isRenewalDue && !m_isHandingBack)
        return;
    const bool isLast = m_isHandingBack && !commit;
    m_hasHandedBack = isLast;
    m_part.take(commit ? commit->rows : std::vector<jobs::CellRow> {}, workers, isLast);
    sendCommit();
}

void CellHost::sendCommit()
{
    const TimePoint sentAt = m_parts.clock.now();
    m_committedAt = sentAt;
    const bool isSent
        = m_parts.storeThreads.submit([this, transaction = m_part.transaction(), sentAt, alive = m_isAlive,
                                          &store = m_parts.store, &control = m_parts.control] {
              auto outcome = store.commit(transaction);
              control.post([this, alive, outcome = std::move(outcome), sentAt] {
                  if (*alive)
                      committed(outcome, sentAt);
              });
          });
    if (!isSent)
        m_tryAgainAt = sentAt + storePause;
}

void CellHost::committed(const jobs::TransactionOutcome& outcome, TimePoint sentAt)
{
    if (m_isLost)
        return;
    switch (m_part.settle(outcome)) {
    case jobs::OwnedOutcome::Done:
        m_confirmedAt = sentAt;
        m_cell.workersStored(m_part.workersWritten());
        m_cell.onCommitted(wallClockMilliseconds());
        if (!std::exchange(m_isStoreInReach, true))
            m_parts.onStore(true);
        if (m_hasHandedBack)
            return lose();
        break;
    case jobs::OwnedOutcome::Lost:
        logEvent("cell.lost", { { "cell", m_pool.value() }, { "term", m_part.term() } }, LogLevel::Warning);
        return lose();
    case jobs::OwnedOutcome::Again:
        m_part.giveUp();
        m_cell.onCommitFailed();
        m_cell.refuseWaiting();
        m_tryAgainAt = m_parts.clock.now() + storePause;
        break;
    case jobs::OwnedOutcome::Unsettled:
        m_tryAgainAt = m_parts.clock.now() + storePause;
        break;
    }
    if (outcome.status != jobs::TransactionStatus::Done && outcome.status != jobs::TransactionStatus::Conflict) {
        if (std::exchange(m_isStoreInReach, false)) {
            logEvent("store.lost", { { "cell", m_pool.value() }, { "detail", outcome.detail } }, LogLevel::Warning);
            m_parts.onStore(false);
        }
    }
    wake();
}

void CellHost::lose()
{
    m_isLost = true;
    m_parts.control.post(guarded([this] { m_parts.onLost(); }));
}

} // namespace rattanrack::node
