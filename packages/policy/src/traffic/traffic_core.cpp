#include "rattanrack/policy/traffic_core.h"

#include "traffic/pool_traffic.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace rattanrack::policy {

namespace {

constexpr Duration retryElsewhere { 100'000 };

class TrafficCore final : public TrafficPolicy {
public:
    explicit TrafficCore(std::uint64_t seed)
        : m_seed(seed)
    {
        m_peers.live.emplace_back();
    }

    TrafficDecisions handle(const TrafficEvent& event, TimePoint now) override
    {
        m_table.begin(now);
        wakeRequests();
        wakePools();
        std::visit([this](const auto& typed) { on(typed); }, event);
        runTouched();
        return m_table.takeDecisions();
    }

    Deadline nextWake() const override
    {
        const Deadline pools = m_wakes.empty() ? Deadline::never() : m_wakes.begin()->first;
        Deadline wake = std::min(m_table.nextWake(), pools);
        return m_isStopping && m_table.size() > 0 && !m_hasEndedQueued ? std::min(wake, m_lastDispatch) : wake;
    }

private:
    struct Entry {
        Entry(const PoolId& id, RequestTable& table, const Peers& peers, std::uint64_t seed)
            : traffic(id, table, peers, seed)
        {
        }

        PoolTraffic traffic;
        Deadline wake { Deadline::never() };
        bool isConfigured { false };
        bool isTouched { false };
    };
    using Pools = std::map<PoolId, Entry>;

    void on(const Submit& event)
    {
        const auto& spec = event.request;
        if (m_table.find(spec.id))
            return;
        if (m_isStopping)
            return reject(spec.id, NotRunReason::ShuttingDown, retryElsewhere);
        if (m_pools.empty())
            return reject(spec.id, NotRunReason::NoWorkers, retryElsewhere);
        auto pool = m_pools.find(spec.pool);
        if (pool == m_pools.end() || !pool->second.isConfigured || !pool->second.traffic.knows(spec.kind))
            return reject(spec.id, NotRunReason::UnknownKind);
        touch(*pool).submit(spec);
    }

    void on(const Cancel& event)
    {
        if (auto* request = m_table.find(event.request))
            poolOf(*request).cancel(*request);
    }

    void on(const AttemptEnded& event)
    {
        if (auto* request = runningOn(event.request, event.worker))
            poolOf(*request).attemptEnded(*request, event.end);
    }

    void on(const UsageReported& event)
    {
        if (auto* request = runningOn(event.request, event.worker))
            poolOf(*request).usageReported(*request, event.used);
    }

    void on(const ViewChanged& event)
    {
        for (auto& [id, pool] : m_pools)
            pool.isConfigured = false;
        for (const auto& policy : event.pools)
            configure(policy, event);
        std::map<PoolId, std::vector<WorkerView>> workers;
        for (const auto& worker : event.workers)
            workers[worker.pool].push_back(worker);
        for (auto& pool : m_pools) {
            auto& views = workers[pool.first];
            std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
            touch(pool).setWorkers(views);
        }
    }

    void on(const PeersChanged& event)
    {
        m_peers.self = event.self;
        m_peers.live = event.live;
        m_peers.live.push_back(event.self);
        std::sort(m_peers.live.begin(), m_peers.live.end());
        m_peers.live.erase(std::unique(m_peers.live.begin(), m_peers.live.end()), m_peers.live.end());
        for (auto& pool : m_pools)
            touch(pool).peersChanged();
    }

    void on(const HomeChanged& event)
    {
        m_homes[event.pool] = event;
        auto pool = m_pools.find(event.pool);
        if (pool != m_pools.end())
            touch(*pool).setHome(event.home, event.term);
    }

    void on(const CreditAsked& event)
    {
        auto pool = m_pools.find(event.ask.pool);
        if (pool != m_pools.end())
            touch(*pool).asked(event.ask);
    }

    void on(const CreditGranted& event)
    {
        auto pool = m_pools.find(event.grant.pool);
        if (pool != m_pools.end() && event.grant.to == m_peers.self)
            touch(*pool).granted(event.grant);
    }

    void on(const StopAdmitting& event)
    {
        m_isStopping = true;
        m_lastDispatch = event.lastDispatch;
    }

    void on(const Tick&) { }

    void configure(const PoolPolicy& policy, const ViewChanged& view)
    {
        std::vector<KindPolicy> kinds;
        std::copy_if(view.kinds.begin(), view.kinds.end(), std::back_inserter(kinds),
            [&](const auto& kind) { return kind.pool == policy.pool; });
        auto [pool, isNew] = m_pools.try_emplace(policy.pool, policy.pool, m_table, m_peers, m_seed + m_pools.size());
        pool->second.isConfigured = true;
        pool->second.traffic.setPolicy(policy, kinds, view.teams);
        if (auto home = m_homes.find(policy.pool); isNew && home != m_homes.end())
            pool->second.traffic.setHome(home->second.home, home->second.term);
    }

    PoolTraffic& touch(Pools::value_type& pool)
    {
        if (!pool.second.isTouched)
            m_touched.push_back(&pool);
        pool.second.isTouched = true;
        return pool.second.traffic;
    }

    PoolTraffic& poolOf(const Request& request) { return touch(*m_pools.find(request.spec.pool)); }

    Request* runningOn(const RequestId& id, const VmId& worker)
    {
        auto* request = m_table.find(id);
        return request && request->isRunning() && request->worker == worker ? request : nullptr;
    }

    void wakeRequests()
    {
        if (m_isStopping && !m_hasEndedQueued && m_lastDispatch.hasPassed(m_table.now()))
            endQueued();
        while (auto* request = m_table.nextDue())
            poolOf(*request).wake(*request);
    }

    void endQueued()
    {
        m_hasEndedQueued = true;
        for (auto* request : m_table.waiting())
            poolOf(*request).giveUp(*request, NotRunReason::ShuttingDown);
    }

    void wakePools()
    {
        for (const auto& [wake, id] : m_wakes) {
            if (!wake.hasPassed(m_table.now()))
                return;
            touch(*m_pools.find(id));
        }
    }

    void runTouched()
    {
        for (auto* pool : std::exchange(m_touched, {})) {
            auto& [id, entry] = *pool;
            entry.isTouched = false;
            entry.traffic.run();
            const Deadline wake = entry.traffic.nextWake();
            if (wake == entry.wake)
                continue;
            m_wakes.erase({ entry.wake, id });
            entry.wake = wake;
            if (wake != Deadline::never())
                m_wakes.emplace(wake, id);
        }
    }

    void reject(const RequestId& id, NotRunReason reason, Duration retryAfter = {})
    {
        m_table.emit(RejectRequest { id, reason, retryAfter });
    }

    std::uint64_t m_seed;
    RequestTable m_table;
    Peers m_peers;
    Pools m_pools;
    std::map<PoolId, HomeChanged> m_homes;
    std::vector<Pools::value_type*> m_touched;
    std::set<std::pair<Deadline, PoolId>> m_wakes;
    bool m_isStopping { false };
    bool m_hasEndedQueued { false };
    Deadline m_lastDispatch { Deadline::never() };
};

} // namespace

std::unique_ptr<TrafficPolicy> createTrafficCore(std::uint64_t seed) { return std::make_unique<TrafficCore>(seed); }

} // namespace rattanrack::policy
