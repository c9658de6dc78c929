#include "cell_world.h"

#include "rattanrack/jobs/job_codec.h"

#include <algorithm>

namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickPeriod = 10ms;
constexpr Duration listPeriod = 700ms;
constexpr Duration wayThere = 2ms;
constexpr Duration orderTimeout = 700ms;
constexpr Duration storeTime = 10ms;
constexpr Duration commitPause = 40ms;
constexpr Duration takeoverTime = 1500ms;
constexpr const char* queueName = "queue";
const PoolId poolName { "pool" };

CellSettings settingsOf(Fence term) { return { poolName, term, 4500ms, 10500ms, 120s }; }

} // namespace

CellWorld::CellWorld(std::uint64_t seed, int workers, const WorldFaults& faults)
    : m_random(seed)
    , m_faults(faults)
{
    for (int number = 0; number < workers; ++number) {
        const std::string name = std::to_string(number);
        WorkerDescription description { WorkerId { "w" + name }, MachineId { "m" + name }, poolName, "10.0.0.1:1" };
        description.capacity = { Millicores { 16000 }, Mebibytes { 65536 }, Accelerators { 0 } };
        description.rack = "r" + std::to_string(number / 4);
        description.labels = { "a", description.rack };
        description.bornUnixMs = ++m_births;
        m_workers.emplace_back(description, 0.98 + 0.02 * static_cast<double>(number % 3) / 2);
    }
    takeOver();
    tick();
    listWorkers();
}

bool CellWorld::happens(double probability)
{
    return std::uniform_real_distribution<> { 0, 1 }(m_random) < probability;
}

Duration CellWorld::between(Duration least, Duration most)
{
    return Duration { std::uniform_int_distribution<std::int64_t> { least.count(), most.count() }(m_random) };
}

void CellWorld::after(Duration delay, std::function<void()> work)
{
    m_events.push({ m_now + delay, ++m_sequence, std::move(work) });
}

void CellWorld::run(Duration time)
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

void CellWorld::tick()
{
    after(tickPeriod, [this] { tick(); });
    for (ModelWorker& worker : m_workers)
        worker.advance(m_now);
    misfortune();
    pump();
}

void CellWorld::misfortune()
{
    const double seconds = static_cast<double>(tickPeriod.count()) / 1e6;
    const auto anyWorker = [&] {
        return std::uniform_int_distribution<std::size_t> { 0, m_workers.size() - 1 }(m_random);
    };
    if (happens(m_faults.crashesPerSecond * seconds))
        crash(anyWorker());
    if (happens(m_faults.cutsPerSecond * seconds))
        m_cutUntil[m_workers[anyWorker()].description().id] = m_now + between(500ms, 8s);
    if (m_cell && happens(m_faults.takeoversPerSecond * seconds)) {
        m_cell.reset();
        ++m_owner;
        m_isCommitting = false;
        after(takeoverTime, [this] { takeOver(); });
    }
}

void CellWorld::crash(std::size_t index)
{
    if (!m_workers[index].isUp())
        return;
    m_workers[index].crash();
    after(between(500ms, 7s), [this, index] {
        WorkerDescription description = m_workers[index].description();
        const bool isRenamed = happens(0.5);
        if (isRenamed)
            description.id = WorkerId { "w" + std::to_string(++m_births) + "x" };
        if (isRenamed)
            m_workers[index] = ModelWorker { description, 0.99 };
        m_workers[index].rise(++m_births, m_now);
    });
}

void CellWorld::takeOver()
{
    std::vector<StoredJob> stored;
    for (const auto& row : m_jobRows) {
        StoredJob job { valueOrNothing([&] { return decodeJob(row.second); }).value(), {} };
        const auto progress = m_progressRows.find(row.first);
        if (progress != m_progressRows.end())
            job.progress = valueOrNothing([&] { return decodeProgress(progress->second); }).value();
        stored.push_back(std::move(job));
    }
    m_cell = std::make_unique<Cell>(settingsOf(++m_term), std::move(stored), m_workerRow, m_now, unixMs());
    m_cell->configure({ { QueueId { queueName }, poolName, 0, attempts, 1.6, 600ms } });
    m_isCommitting = false;
    listWorkers();
}

void CellWorld::listWorkers()
{
    std::vector<WorkerDescription> listed;
    for (const ModelWorker& worker : m_workers) {
        if (worker.isUp())
            listed.push_back(worker.description());
    }
    if (m_cell)
        m_cell->setWorkers(listed, m_now, m_now);
}

void CellWorld::submit(const Job& job, const std::vector<ModelWork>& workOfSteps)
{
    m_jobs[job.id] = job;
    m_work[job.id] = workOfSteps;
    if (!m_cell)
        return;
    const CallToken token = ++m_lastToken;
    switch (m_cell->submit(job, token, m_now)) {
    case Acceptance::Stored:
        m_accepted.emplace(job.id, m_now);
        break;
    case Acceptance::Waiting:
        m_submissions[token] = job.id;
        break;
    case Acceptance::Refused:
        break;
    }
}

void CellWorld::cancel(const JobId& job)
{
    if (!m_cell)
        return;
    const CallToken token = ++m_lastToken;
    const auto acceptance = m_cell->cancel(job, token, unixMs());
    if (acceptance == Acceptance::Waiting)
        m_cancels[token] = job;
}

void CellWorld::pump()
{
    if (m_now.time_since_epoch().count() % listPeriod.count() < tickPeriod.count())
        listWorkers();
    if (!m_cell)
        return;
    CellOutput output = m_cell->step(m_now, unixMs(), Authority::Full);
    for (const Order& order : output.orders)
        perform(order);
    for (const CallReply& reply : output.replies) {
        if (!reply.isStored)
            continue;
        if (const auto submission = m_submissions.find(reply.token); submission != m_submissions.end())
            m_accepted.emplace(submission->second, m_now);
        if (const auto cancelled = m_cancels.find(reply.token); cancelled != m_cancels.end())
            m_cancelled.emplace(cancelled->second, m_now);
    }
    commit();
}

void CellWorld::commit()
{
    if (m_isCommitting || m_now - m_lastCommit < commitPause)
        return;
    const auto commit = m_cell->takeCommit(unixMs());
    const auto workers = m_cell->workersInUse();
    if (!commit && workers == m_workerRow)
        return;
    m_isCommitting = true;
    m_lastCommit = m_now;
    m_cell->workersSent(workers);
    after(storeTime, [this, commit, workers, owner = m_owner] {
        if (owner != m_owner)
            return; // Its row has changed hands: nothing is written.
        m_isCommitting = false;
        if (happens(m_faults.failedCommits)) {
            if (commit)
                m_cell->onCommitFailed();
            return;
        }
        for (const CellRow& row : commit ? commit->rows : std::vector<CellRow> {}) {
            auto& rows = row.kind == CellRow::Kind::Job ? m_jobRows : m_progressRows;
            if (row.value)
                rows[row.job] = *row.value;
            else
                rows.erase(row.job);
        }
        m_workerRow = workers;
        m_cell->workersStored(workers);
        if (commit)
            m_cell->onCommitted(unixMs());
    });
}

ModelWorker* CellWorld::find(const WorkerId& id)
{
    const auto found = std::find_if(
        m_workers.begin(), m_workers.end(), [&](const ModelWorker& each) { return each.description().id == id; });
    return found == m_workers.end() || !found->isUp() ? nullptr : &*found;
}

bool CellWorld::isCut(const WorkerId& id) const
{
    const auto cut = m_cutUntil.find(id);
    return cut != m_cutUntil.end() && m_now < cut->second;
}

const ModelWork& CellWorld::workOf(const TaskRef& task) const
{
    return m_work.at(task.job).at(static_cast<std::size_t>(task.step));
}

void CellWorld::perform(const Order& order)
{
    std::visit(
        [this](const auto& each) {
            if constexpr (std::is_same_v<std::decay_t<decltype(each)>, LookOrder>)
                look(each);
            else
                performOrder(each);
        },
        order);
}

template <typename OrderType> void CellWorld::performOrder(const OrderType& order)
{
    const bool isLost = happens(m_faults.lostOrders);
    const bool isAnswerLost = isLost || happens(m_faults.lostAnswers);
    const int owner = m_owner;
    const auto tell = [this, order, owner](const CallAnswer& answer) {
        if (owner == m_owner && m_cell)
            m_cell->onAnswer(order, answer, m_now);
    };
    if (isAnswerLost)
        after(orderTimeout, [tell] { tell({ CallStatus::NoAnswer }); });
    after(wayThere, [this, order, tell, isAnswerLost, isLost] {
        ModelWorker* worker = find(order.worker);
        if (!worker || isCut(order.worker)) {
            if (!isAnswerLost)
                after(orderTimeout, [tell] { tell({ CallStatus::NoAnswer }); });
            return;
        }
        if (isLost)
            return carryOutLate(order, worker->description().bornUnixMs);
        const CallAnswer answer = carryOut(*worker, order);
        if (!isAnswerLost)
            after(wayThere, [tell, answer] { tell(answer); });
    });
}

/// The life of the worker that has received the order carries it out, if it lasts until then.
template <typename OrderType> void CellWorld::carryOutLate(const OrderType& order, std::int64_t bornUnixMs)
{
    after(between(2s, 12s), [this, order, bornUnixMs] {
        ModelWorker* worker = find(order.worker);
        if (worker && worker->description().bornUnixMs == bornUnixMs)
            carryOut(*worker, order);
    });
}

CallAnswer CellWorld::carryOut(ModelWorker& worker, const StartOrder& order)
{
    const auto before = worker.runs().find(order.task);
    const bool wasThere = before != worker.runs().end() && before->second.number == order.run;
    const CallAnswer answer = worker.start(order, workOf(order.task), happens(m_faults.failedRuns), m_now);
    if (answer.status == CallStatus::Done && !wasThere)
        checkStart(worker, order);
    return answer;
}

void CellWorld::look(const LookOrder& order)
{
    const TimePoint sentAt = m_now;
    after(wayThere, [this, order, sentAt, owner = m_owner] { finishLook(order, sentAt, m_now + order.wait, owner); });
}

void CellWorld::finishLook(const LookOrder& order, TimePoint sentAt, TimePoint deadline, int owner)
{
    const auto tell = [this, order, sentAt, owner](const LookAnswer& answer) {
        if (owner == m_owner && m_cell)
            m_cell->onAnswer(order, answer, sentAt, m_now);
    };
    ModelWorker* worker = find(order.worker);
    if (!worker || isCut(order.worker)) {
        after(orderTimeout, [tell] { tell({ CallStatus::NoAnswer }); });
        return;
    }
    LookAnswer answer = worker->look(order, m_now);
    if (answer.status == CallStatus::Done && answer.report.ends.empty() && m_now < deadline) {
        after(tickPeriod, [this, order, sentAt, deadline, owner] { finishLook(order, sentAt, deadline, owner); });
        return;
    }
    if (answer.status == CallStatus::Done)
        noteEnds(answer.report);
    if (happens(m_faults.lostAnswers))
        answer = { CallStatus::NoAnswer };
    after(wayThere, [tell, answer] { tell(answer); });
}

} // namespace rattanrack::jobs::model
