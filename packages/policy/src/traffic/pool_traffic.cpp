#include "traffic/pool_traffic.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr std::uint32_t maxAttempts = 3;
constexpr Duration longestRetryWait { 1'000'000 };
constexpr Duration recheckInterval { 100'000 };
constexpr Duration retryAfterRefusals { 250'000 };

bool isWorthRepeating(const Request& request, AttemptEnd end, bool isWorkerSuspect)
{
    if (end == AttemptEnd::Refused)
        return true;
    if (!request.spec.isRepeatable)
        return false;
    return end == AttemptEnd::Lost || (end == AttemptEnd::Failed && isWorkerSuspect);
}

} // namespace

std::size_t Peers::selfIndex() const
{
    return static_cast<std::size_t>(std::lower_bound(live.begin(), live.end(), self) - live.begin());
}

bool Peers::contains(const NodeId& node) const { return std::binary_search(live.begin(), live.end(), node); }

PoolTraffic::PoolTraffic(PoolId id, RequestTable& table, const Peers& peers, std::uint64_t seed)
    : m_table(table)
    , m_peers(peers)
    , m_admission(seed)
{
    m_policy.pool = std::move(id);
}

void PoolTraffic::setPolicy(
    const PoolPolicy& policy, const std::vector<KindPolicy>& kinds, const std::vector<TeamPolicy>& teams)
{
    m_policy = policy;
    m_retries.setShare(policy.retryBudget);
    m_queue.setKinds(kinds);
    m_queue.setTeams(teams);
}

void PoolTraffic::setWorkers(const std::vector<WorkerView>& workers)
{
    m_credits.setWorkers(workers, !m_asker.hasHome(), m_peers.selfIndex(), m_peers.live.size());
    m_health.setWorkers(workers, m_policy.maxEjectedShare);
    m_home.setWorkers(workers);
}

void PoolTraffic::peersChanged()
{
    if (!m_asker.hasHome() && m_asker.term() == 0)
        m_credits.resetToStanding(m_peers.selfIndex(), m_peers.live.size());
    if (m_home.isActive())
        m_home.setHolders(m_peers.live, now());
}

void PoolTraffic::setHome(const NodeId& home, std::uint64_t term)
{
    const bool isNew = home != m_asker.home() || term != m_asker.term();
    m_asker.setHome(home, term, now());
    if (home != m_peers.self)
        m_home.stop();
    else if (isNew || !m_home.isActive())
        m_home.start(m_policy.pool, term, m_peers.live, now());
}

void PoolTraffic::submit(const RequestSpec& spec)
{
    auto& request = m_table.add(spec);
    Admission::estimate(request, m_estimates, m_credits);
    if (const auto refusal = m_admission.refuse(request, m_queue, m_credits, capacity(), now()))
        return m_table.reject(request, refusal->reason, refusal->retryAfter);
    if (!makeRoom(request)) {
        const auto reason = m_queue.isBeyondQuota(request) ? NotRunReason::QuotaExceeded : NotRunReason::QueueFull;
        const auto advice = m_admission.retryAdvice(m_queue.expectedWait(request, capacity()));
        return m_table.reject(request, reason, advice);
    }
    m_queue.push(request, false);
    m_table.setWake(request, Admission::latestStart(request));
}

void PoolTraffic::cancel(Request& request)
{
    if (request.isCancelled)
        return;
    request.isCancelled = true;
    if (request.isRunning())
        stop(request);
    else
        giveUp(request, NotRunReason::Cancelled);
}

void PoolTraffic::attemptEnded(Request& request, AttemptEnd end)
{
    const bool isWorkerSuspect = m_health.isSuspect(request.worker);
    m_credits.release(request.worker, request.credits);
    m_queue.release(request);
    m_health.recordEnd(request.worker, end, now());
    m_usage.remove(request);
    checkInvariant(
        !m_usage.isEmpty() || m_credits.inUse() == 0, "credits.none_in_use_without_attempts", m_policy.pool.value());
    if (end == AttemptEnd::Completed)
        m_estimates.recordRunTime(request.spec.kind, now() - request.dispatched);
    if (request.used != ResourceSize {})
        m_estimates.recordUsage(request.spec.kind, request.used);
    request.worker = {};
    request.used = {};
    if (end != AttemptEnd::Refused)
        request.ranTo = end;
    settle(request, end, isWorkerSuspect);
}

void PoolTraffic::usageReported(Request& request, const ResourceSize& used)
{
    const auto* worker = m_credits.worker(request.worker);
    if (!worker)
        return;
    const auto action = m_usage.report(request, used, worker->view.capacity, worker->view.slots, now());
    if (!action)
        return;
    if (action->isStop)
        stop(*action->request);
    else
        m_table.emit(RestrainAttempt { action->request->spec.id, action->request->worker, action->restraint });
}

void PoolTraffic::asked(const CreditAsk& ask) { deliver(m_home.accept(ask, now())); }

void PoolTraffic::granted(const CreditGrant& grant) { m_asker.accept(grant, m_credits, now()); }

void PoolTraffic::wake(Request& request)
{
    if (!request.isRunning()) {
        if (request.spec.deadline.hasPassed(now()))
            return giveUp(request, NotRunReason::DeadlinePassed);
        const bool isRetry = request.attempts() > 0;
        return giveUp(request, isRetry ? NotRunReason::RetriesExhausted : NotRunReason::DeadlineTooSoon);
    }
    m_table.setWake(request, Deadline::never());
    if (request.spec.isRepeatable)
        stop(request);
}

void PoolTraffic::giveUp(Request& request, NotRunReason reason)
{
    const bool isWorthAsking = reason == NotRunReason::DeadlineTooSoon || reason == NotRunReason::RetriesExhausted
        || reason == NotRunReason::ShuttingDown;
    m_queue.remove(request);
    m_table.reject(request, reason, isWorthAsking ? m_admission.retryAdvice({}) : Duration::zero());
}

void PoolTraffic::run()
{
    constexpr int maxRounds = 4; // a round with the home on this node may free credits for the next
    for (int round = 0; round < maxRounds; ++round) {
        dispatchAll();
        const auto* head = m_queue.head();
        m_asker.giveBack(m_credits, head, now());
        if (!keepsStanding(m_credits.slots(), m_peers.live.size()))
            m_asker.giveBackIdle(m_credits, head);
        if (m_home.isActive() && m_home.nextWake(now()).hasPassed(now()))
            deliver(m_home.update(now()));
        if (!m_asker.isDue(head != nullptr, m_queue.size(), head, now()))
            return;
        auto ask = m_asker.makeAsk(m_policy.pool, m_peers.self, m_queue, m_credits, m_blocked, now());
        if (m_asker.home() != m_peers.self) {
            m_table.emit(SendAsk { m_asker.home(), std::move(ask) });
            return;
        }
        deliver(m_home.accept(ask, now()));
    }
}

Deadline PoolTraffic::nextWake() const
{
    const auto* head = m_queue.head();
    Deadline wake = m_asker.nextWake(head != nullptr, m_queue.size(), head, now());
    if (head && m_credits.idle() > 0)
        wake = std::min(wake, Deadline::after(now(), recheckInterval));
    return m_home.isActive() ? std::min(wake, m_home.nextWake(now())) : wake;
}

double PoolTraffic::capacity() const
{
    const double share = static_cast<double>(m_credits.slots()) / static_cast<double>(m_peers.live.size());
    return std::max(static_cast<double>(m_credits.held()), share);
}

bool PoolTraffic::isFull(const RequestSpec& spec) const
{
    return m_queue.size() >= m_policy.maxQueued || m_queue.bytes() + spec.bytes > m_policy.maxQueuedBytes;
}

bool PoolTraffic::makeRoom(const Request& newcomer)
{
    if (newcomer.spec.bytes > m_policy.maxQueuedBytes)
        return false;
    while (isFull(newcomer.spec)) {
        auto* victim = m_queue.victim(newcomer, m_policy);
        if (!victim)
            return false;
        const auto reason = m_queue.isBeyondQuota(*victim) ? NotRunReason::QuotaExceeded : NotRunReason::QueueFull;
        const auto advice = m_admission.retryAdvice(m_queue.expectedWait(*victim, capacity()));
        m_queue.remove(*victim);
        m_table.reject(*victim, reason, advice);
    }
    return true;
}

void PoolTraffic::dispatchAll()
{
    m_blocked = nullptr;
    if (m_queue.size() == 0)
        return;
    PoolQueue::Blocked blocked(m_queue.kinds(), false);
    while (m_credits.idle() > 0 && dispatchFirst(blocked)) { }
    if (m_credits.idle() == 0)
        m_blocked = m_queue.first(blocked, capacity());
}

bool PoolTraffic::dispatchFirst(PoolQueue::Blocked& blocked)
{
    auto* request = m_queue.first(blocked, std::max(static_cast<double>(m_credits.held()), 1.0));
    if (!request)
        return false;
    if (request->attempts() > 0 && !hasUntriedWorker(*request)) {
        giveUp(*request, NotRunReason::RetriesExhausted);
        return true;
    }
    const auto* worker = workerFor(*request);
    if (worker && (request->attempts() == 0 || m_retries.takeRetry())) {
        dispatch(*request, worker->view);
        return true;
    }
    blocked[request->kind] = true;
    if (!m_blocked)
        m_blocked = request;
    return true;
}

const CreditHolder::Worker* PoolTraffic::workerFor(const Request& request) const
{
    const auto isUsable = [&](const CreditHolder::Worker& worker) {
        const auto needed = creditsFor(request.size, worker.view.capacity, worker.view.slots);
        return needed > 0 && needed <= worker.idle() && !request.hasTried(worker.view.id)
            && m_health.admits(worker.view.id, now());
    };
    const int nearest = request.attempts() > 0 ? 2 : 0;
    for (int nearness = 0; nearness <= nearest; ++nearness) {
        const auto isTrusted = [&](const auto& worker) {
            return request.nearness(worker.view) <= nearness && !m_health.isSuspect(worker.view.id) && isUsable(worker);
        };
        if (const auto* worker = m_credits.pick(isTrusted))
            return worker;
    }
    return m_credits.pick(isUsable);
}

void PoolTraffic::dispatch(Request& request, const WorkerView& worker)
{
    checkInvariant(!request.isRunning(), "traffic.one_attempt_at_a_time", request.spec.id.value());
    checkInvariant(worker.takesWork, "traffic.worker_takes_work", worker.id.value());
    m_queue.remove(request);
    request.credits = creditsFor(request.size, worker.capacity, worker.slots);
    m_queue.charge(request);
    m_credits.use(worker.id, request.credits);
    m_health.recordDispatch(worker.id, now());
    request.worker = worker.id;
    request.dispatched = now();
    request.tried.push_back(worker.id);
    request.triedRacks.push_back(worker.rack);
    request.triedDataCenters.push_back(worker.dataCenter);
    m_usage.add(request);
    m_table.setWake(request, request.spec.deadline);
    if (request.attempts() == 1)
        m_retries.recordFirstAttempt();
    m_table.emit(Dispatch { request.spec.id, worker.id, worker.poolEpoch, request.attempts() });
}

void PoolTraffic::settle(Request& request, AttemptEnd end, bool isWorkerSuspect)
{
    if (request.isCancelled || request.isStopping) {
        if (end != AttemptEnd::Refused)
            return m_table.conclude(request, end);
        const auto reason = request.isCancelled ? NotRunReason::Cancelled : NotRunReason::DeadlinePassed;
        return m_table.reject(request, reason);
    }
    if (isWorthRepeating(request, end, isWorkerSuspect) && canRetry(request)) {
        m_queue.push(request, true);
        m_table.setWake(request, std::min(request.spec.deadline, Deadline::after(now(), longestRetryWait)));
        return;
    }
    if (end == AttemptEnd::Refused)
        return m_table.reject(request, NotRunReason::RetriesExhausted, m_admission.retryAdvice(retryAfterRefusals));
    m_table.conclude(request, end);
}

bool PoolTraffic::canRetry(const Request& request)
{
    return m_table.mayDispatch() && request.attempts() < maxAttempts && !request.spec.deadline.hasPassed(now())
        && hasUntriedWorker(request);
}

bool PoolTraffic::hasUntriedWorker(const Request& request) const
{
    const auto& workers = m_credits.workers();
    return std::any_of(workers.begin(), workers.end(), [&](const auto& worker) {
        return worker.view.takesWork && fits(request.size, worker.view.capacity) && !request.hasTried(worker.view.id);
    });
}

void PoolTraffic::deliver(const CreditHome::Grants& grants)
{
    for (const auto& grant : grants) {
        if (grant.to == m_peers.self)
            m_asker.accept(grant, m_credits, now());
        else
            m_table.emit(SendGrant { grant });
    }
}

void PoolTraffic::stop(Request& request)
{
    if (request.isStopping)
        return;
    request.isStopping = true;
    m_table.emit(StopAttempt { request.spec.id, request.worker });
}

} // namespace rattanrack::policy
