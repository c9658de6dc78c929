#include "rattanrack/policy/traffic_core.h"

#include "traffic/pool.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace rattanrack::policy {

namespace {

constexpr std::size_t maxAttempts = 3;
constexpr Duration shortRetryAfter { 250'000 };

class TrafficCore final : public TrafficPolicy {
public:
    explicit TrafficCore(std::uint64_t /*seed*/) { }

    TrafficDecisions handle(const TrafficEvent& event, TimePoint now) override
    {
        m_now = now;
        m_decisions.clear();
        expireQueued();
        std::visit([this](const auto& typed) { on(typed); }, event);
        return std::move(m_decisions);
    }

    Deadline nextWake() const override { return m_deadlines.empty() ? Deadline::never() : m_deadlines.begin()->first; }

private:
    void on(const Submit& event)
    {
        const auto& spec = event.request;
        if (m_requests.contains(spec.id))
            return;
        if (m_isStopping)
            return reject(spec.id, NotRunReason::ShuttingDown, shortRetryAfter);
        auto pool = m_pools.find(spec.pool);
        if (pool == m_pools.end() || !pool->second.kinds.contains(spec.kind))
            return reject(spec.id, NotRunReason::UnknownKind);
        if (auto reason = reasonAgainst(spec, pool->second))
            return reject(spec.id, *reason, retryAfter(*reason));
        auto& request = m_requests.emplace(spec.id, Request { .spec = spec, .arrived = m_now }).first->second;
        enqueue(request, pool->second);
        dispatchFrom(pool->second);
    }

    void on(const Cancel& event)
    {
        auto found = m_requests.find(event.request);
        if (found == m_requests.end() || found->second.isCancelled)
            return;
        auto& request = found->second;
        request.isCancelled = true;
        if (request.isRunning()) {
            m_decisions.emplace_back(StopAttempt { request.spec.id, request.worker });
            return;
        }
        dequeue(request);
        finishAsRejected(request, NotRunReason::Cancelled);
    }

    void on(const AttemptEnded& event)
    {
        auto found = m_requests.find(event.request);
        if (found == m_requests.end() || !found->second.isRunning() || found->second.worker != event.worker)
            return;
        auto& request = found->second;
        auto& pool = m_pools.at(request.spec.pool);
        pool.credits.release(request.worker);
        request.worker = {};
        settle(request, event.end, pool);
        dispatchFrom(pool);
    }

    void on(const ViewChanged& event)
    {
        for (const auto& policy : event.pools)
            m_pools[policy.pool].policy = policy;
        for (auto& [id, pool] : m_pools) {
            pool.policy.pool = id;
            pool.retries.setShare(pool.policy.retryBudget);
            pool.kinds.clear();
        }
        for (const auto& kind : event.kinds)
            m_pools[kind.pool].kinds[kind.kind] = kind;
        setWorkers(event.workers);
        dispatchAll();
    }

    void on(const PeersChanged& event)
    {
        auto live = event.live;
        std::sort(live.begin(), live.end());
        auto self = std::find(live.begin(), live.end(), event.self);
        m_nodeIndex = static_cast<std::size_t>(self - live.begin());
        m_nodes = self == live.end() ? live.size() + 1 : live.size();
        resetCredits();
        dispatchAll();
    }

    void on(const StopAdmitting& event)
    {
        m_isStopping = true;
        m_lastDispatch = event.lastDispatch;
    }

    void on(const HomeChanged&) { }
    void on(const CreditAsked&) { }
    void on(const CreditGranted&) { }
    void on(const UsageReported&) { }
    void on(const Tick&) { dispatchAll(); }

    void setWorkers(const std::vector<WorkerView>& workers)
    {
        std::map<PoolId, std::vector<WorkerView>> byPool;
        for (const auto& worker : workers)
            byPool[worker.pool].push_back(worker);
        for (auto& [id, pool] : m_pools) {
            auto& views = byPool[id];
            std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
            pool.credits.setWorkers(views);
        }
        resetCredits();
    }

    void resetCredits()
    {
        for (auto& [id, pool] : m_pools)
            pool.credits.resetToStanding(m_nodeIndex, m_nodes);
    }

    std::optional<NotRunReason> reasonAgainst(const RequestSpec& spec, const Pool& pool) const
    {
        if (spec.deadline.hasPassed(m_now))
            return NotRunReason::DeadlinePassed;
        const auto& workers = pool.credits.workers();
        if (std::none_of(workers.begin(), workers.end(), [](const auto& worker) { return worker.view.takesWork; }))
            return NotRunReason::NoWorkers;
        if (std::none_of(workers.begin(), workers.end(),
                [&](const auto& worker) { return fits(spec.declaredSize, worker.view.capacity); }))
            return NotRunReason::NeverFits;
        if (pool.queue.size() >= pool.policy.maxQueued || pool.queue.bytes() + spec.bytes > pool.policy.maxQueuedBytes)
            return NotRunReason::QueueFull;
        return std::nullopt;
    }

    static Duration retryAfter(NotRunReason reason)
    {
        const bool isWorthAsking = reason == NotRunReason::QueueFull || reason == NotRunReason::NoWorkers;
        return isWorthAsking ? shortRetryAfter : Duration::zero();
    }

    void settle(Request& request, AttemptEnd end, Pool& pool)
    {
        if (end == AttemptEnd::Refused && request.isCancelled)
            return finishAsRejected(request, NotRunReason::Cancelled);
        if (request.isCancelled || !mayRunAgain(request, end))
            return conclude(request, end);
        const bool isRetried
            = request.attempts() < maxAttempts && !request.spec.deadline.hasPassed(m_now) && pool.retries.takeRetry();
        if (isRetried)
            return enqueue(request, pool);
        if (end == AttemptEnd::Refused)
            return finishAsRejected(request, NotRunReason::RetriesExhausted, shortRetryAfter);
        conclude(request, end);
    }

    static bool mayRunAgain(const Request& request, AttemptEnd end)
    {
        return end == AttemptEnd::Refused || (end == AttemptEnd::Lost && request.spec.isRepeatable);
    }

    void enqueue(Request& request, Pool& pool)
    {
        pool.queue.push(request);
        m_deadlines.emplace(request.spec.deadline, request.spec.id);
    }

    void dequeue(Request& request)
    {
        m_pools.at(request.spec.pool).queue.remove(request);
        m_deadlines.erase({ request.spec.deadline, request.spec.id });
    }

    void dispatchAll()
    {
        for (auto& [id, pool] : m_pools)
            dispatchFrom(pool);
    }

    void dispatchFrom(Pool& pool)
    {
        while (Request* request = pool.queue.first()) {
            const auto* worker = pool.credits.pick([&](const auto& candidate) {
                return fits(request->spec.declaredSize, candidate.view.capacity)
                    && std::find(request->tried.begin(), request->tried.end(), candidate.view.id)
                    == request->tried.end();
            });
            if (!worker)
                return;
            dispatch(*request, worker->view, pool);
        }
    }

    void dispatch(Request& request, const WorkerView& worker, Pool& pool)
    {
        dequeue(request);
        pool.credits.use(worker.id);
        request.worker = worker.id;
        request.dispatched = m_now;
        request.tried.push_back(worker.id);
        if (request.attempts() == 1)
            pool.retries.recordFirstAttempt();
        m_decisions.emplace_back(Dispatch { request.spec.id, worker.id, worker.poolEpoch, request.attempts() });
    }

    void expireQueued()
    {
        while (!m_deadlines.empty() && m_deadlines.begin()->first.hasPassed(m_now)) {
            auto& request = m_requests.at(m_deadlines.begin()->second);
            dequeue(request);
            finishAsRejected(request, NotRunReason::DeadlinePassed);
        }
        if (m_isStopping && m_lastDispatch.hasPassed(m_now))
            endQueuedAsShuttingDown();
    }

    void endQueuedAsShuttingDown()
    {
        while (!m_deadlines.empty()) {
            auto& request = m_requests.at(m_deadlines.begin()->second);
            dequeue(request);
            finishAsRejected(request, NotRunReason::ShuttingDown, shortRetryAfter);
        }
    }

    void reject(const RequestId& id, NotRunReason reason, Duration retryAfter = {})
    {
        m_decisions.emplace_back(RejectRequest { id, reason, retryAfter });
    }

    void finishAsRejected(Request& request, NotRunReason reason, Duration retryAfter = {})
    {
        reject(request.spec.id, reason, retryAfter);
        m_requests.erase(RequestId { request.spec.id });
    }

    void conclude(Request& request, AttemptEnd end)
    {
        m_decisions.emplace_back(ConcludeRequest { request.spec.id, end });
        m_requests.erase(RequestId { request.spec.id });
    }

    TimePoint m_now;
    TrafficDecisions m_decisions;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<RequestId, Request> m_requests;
    std::set<std::pair<Deadline, RequestId>> m_deadlines;
    std::size_t m_nodeIndex { 0 };
    std::size_t m_nodes { 1 };
    bool m_isStopping { false };
    Deadline m_lastDispatch { Deadline::never() };
};

} // namespace

std::unique_ptr<TrafficPolicy> createTrafficCore(std::uint64_t seed) { return std::make_unique<TrafficCore>(seed); }

} // namespace rattanrack::policy
