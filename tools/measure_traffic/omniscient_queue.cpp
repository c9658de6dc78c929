#include "omniscient_queue.h"

#include <map>
#include <unordered_map>

namespace rattanrack::measure {

namespace {

class OmniscientQueue final : public policy::TrafficPolicy {
public:
    explicit OmniscientQueue(const Workload& workload)
    {
        for (const auto& arrival : workload.arrivals)
            m_runTimes[arrival.spec.id] = arrival.runTime;
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
        return std::move(m_decisions);
    }

    Deadline nextWake() const override { return Deadline::never(); }

private:
    struct Pool {
        std::map<std::pair<policy::Urgency, std::uint64_t>, policy::RequestSpec> waiting;
        std::vector<VmId> free;
    };

    void setView(const policy::ViewChanged& view)
    {
        for (const auto& worker : view.workers) {
            for (std::int64_t slot = 0; slot < worker.slots.count(); ++slot)
                m_pools[worker.pool].free.push_back(worker.id);
        }
    }

    void push(const policy::RequestSpec& spec)
    {
        m_pools[spec.pool].waiting.emplace(std::pair { spec.urgency, ++m_order }, spec);
        m_poolOf[spec.id] = spec.pool;
        dispatchFrom(m_pools[spec.pool]);
    }

    void end(const policy::AttemptEnded& ended)
    {
        auto& pool = m_pools[m_poolOf[ended.request]];
        pool.free.push_back(ended.worker);
        m_decisions.emplace_back(policy::ConcludeRequest { ended.request, ended.end });
        dispatchFrom(pool);
    }

    void dispatchFrom(Pool& pool)
    {
        while (!pool.free.empty() && !pool.waiting.empty()) {
            const auto spec = pool.waiting.begin()->second;
            pool.waiting.erase(pool.waiting.begin());
            if (m_now + m_runTimes.at(spec.id) > spec.deadline.at()) {
                m_decisions.emplace_back(policy::RejectRequest { spec.id, policy::NotRunReason::DeadlineTooSoon, {} });
                continue;
            }
            m_decisions.emplace_back(policy::Dispatch { spec.id, pool.free.back(), 0, 1 });
            pool.free.pop_back();
        }
    }

    TimePoint m_now;
    policy::TrafficDecisions m_decisions;
    std::map<PoolId, Pool> m_pools;
    std::unordered_map<RequestId, PoolId> m_poolOf;
    std::unordered_map<RequestId, Duration> m_runTimes;
    std::uint64_t m_order { 0 };
};

} // namespace

std::unique_ptr<policy::TrafficPolicy> createOmniscientQueue(const Workload& workload)
{
    return std::make_unique<OmniscientQueue>(workload);
}

} // namespace rattanrack::measure
