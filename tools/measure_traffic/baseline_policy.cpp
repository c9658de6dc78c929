#include "baseline_policy.h"

#include "simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace rattanrack::measure {

namespace {

constexpr Duration recheckInterval { 20'000 };

class BaselinePolicy final : public policy::TrafficPolicy, public ReportReader {
public:
    BaselinePolicy(Choice choice, std::uint64_t seed)
        : m_choice(choice)
        , m_random(seed)
    {
    }

    policy::TrafficDecisions handle(const policy::TrafficEvent& event, TimePoint now) override
    {
        m_now = now;
        m_decisions.clear();
        if (const auto* view = std::get_if<policy::ViewChanged>(&event))
            setView(*view);
        if (const auto* submit = std::get_if<policy::Submit>(&event))
            push(submit->request);
        if (const auto* ended = std::get_if<policy::AttemptEnded>(&event))
            end(*ended);
        for (auto& [id, pool] : m_pools)
            dispatchFrom(pool);
        return std::move(m_decisions);
    }

    Deadline nextWake() const override
    {
        const bool isWaiting = std::any_of(
            m_pools.begin(), m_pools.end(), [](const auto& entry) { return !entry.second.waiting.empty(); });
        return isWaiting ? Deadline::after(m_now, recheckInterval) : Deadline::never();
    }

    void report(const VmId& id, std::int64_t busy, TimePoint asOf) override
    {
        auto& worker = m_workers[id];
        worker.reported = busy;
        std::erase_if(worker.changes, [&](const auto& change) { return change.at <= asOf; });
    }

private:
    struct Change {
        TimePoint at;
        std::int64_t step { 0 };
    };
    struct Worker {
        std::int64_t slots { 0 };
        std::int64_t reported { 0 };
        std::vector<Change> changes; // own sends and ends since the report
        Deadline fullUntil {};

        std::int64_t load() const
        {
            std::int64_t sum = reported;
            for (const auto& change : changes)
                sum += change.step;
            return sum;
        }
    };
    struct Pool {
        std::vector<VmId> workers;
        std::deque<RequestId> waiting;
    };

    void setView(const policy::ViewChanged& view)
    {
        for (const auto& worker : view.workers) {
            m_pools[worker.pool].workers.push_back(worker.id);
            m_workers[worker.id].slots = worker.slots.count();
        }
    }

    void push(const policy::RequestSpec& spec)
    {
        m_poolOf[spec.id] = spec.pool;
        m_pools[spec.pool].waiting.push_back(spec.id);
    }

    void end(const policy::AttemptEnded& ended)
    {
        auto& worker = m_workers[ended.worker];
        worker.changes.push_back({ m_now, -1 });
        if (ended.end != policy::AttemptEnd::Refused) {
            m_decisions.emplace_back(policy::ConcludeRequest { ended.request, ended.end });
            return;
        }
        if (m_choice != Choice::Random)
            worker.fullUntil = Deadline::after(m_now, recheckInterval);
        m_pools[m_poolOf[ended.request]].waiting.push_front(ended.request);
    }

    void dispatchFrom(Pool& pool)
    {
        while (!pool.waiting.empty()) {
            const auto worker = choose(pool);
            if (!worker)
                return;
            const auto request = pool.waiting.front();
            pool.waiting.pop_front();
            m_workers[*worker].changes.push_back({ m_now, 1 });
            m_decisions.emplace_back(policy::Dispatch { request, *worker, 0, ++m_attempts[request] });
        }
    }

    std::optional<VmId> choose(const Pool& pool)
    {
        if (m_choice == Choice::Random)
            return randomOf(pool);
        if (m_choice == Choice::LeastLoaded)
            return lessLoaded(pool.workers);
        return lessLoaded({ randomOf(pool), randomOf(pool) });
    }

    const VmId& randomOf(const Pool& pool)
    {
        return pool.workers[std::uniform_int_distribution<std::size_t> { 0, pool.workers.size() - 1 }(m_random)];
    }

    std::optional<VmId> lessLoaded(const std::vector<VmId>& candidates)
    {
        std::optional<VmId> best;
        std::int64_t least = 0;
        for (const auto& id : candidates) {
            const auto& worker = m_workers[id];
            const auto load = worker.load();
            if (load >= worker.slots || !worker.fullUntil.hasPassed(m_now) || (best && load >= least))
                continue;
            best = id;
            least = load;
        }
        return best;
    }

    Choice m_choice;
    std::mt19937_64 m_random;
    TimePoint m_now;
    policy::TrafficDecisions m_decisions;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<VmId, Worker> m_workers;
    std::unordered_map<RequestId, PoolId> m_poolOf;
    std::unordered_map<RequestId, std::uint32_t> m_attempts;
};

} // namespace

std::unique_ptr<policy::TrafficPolicy> createBaseline(Choice choice, std::uint64_t seed)
{
    return std::make_unique<BaselinePolicy>(choice, seed);
}

} // namespace rattanrack::measure
