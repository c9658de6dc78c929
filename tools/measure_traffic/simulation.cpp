#include "simulation.h"

#include <algorithm>
#include <queue>

namespace rattanrack::measure {

namespace {

using policy::AttemptEnd;

constexpr Duration reportInterval { 1'000'000 };
constexpr Duration reportDelay { 1'000'000 };
constexpr Duration failTime { 5'000 };
constexpr Duration timeToNoticeDeath { 1'500'000 };
constexpr Duration drainTime { 120'000'000 };
constexpr Duration minTickGap { 1'000 };
constexpr std::uint64_t messageOverhead = 60; // bytes
constexpr std::uint64_t creditOverhead = 8; // bytes

std::uint64_t bytesOf(const std::vector<policy::Credit>& credits)
{
    std::uint64_t sum = 0;
    for (const auto& credit : credits)
        sum += creditOverhead + credit.worker.value().size();
    return sum;
}

class Simulation {
public:
    Simulation(const Workload& workload, const Setting& setting)
        : m_workload(workload)
        , m_setting(setting)
    {
        m_result.fates.reserve(workload.arrivals.size());
        for (const auto& worker : workload.view.workers)
            m_workers[worker.id] = { .pool = worker.pool, .slots = worker.slots.count() };
        for (const auto& pool : workload.view.pools)
            m_gauges[pool.pool] = { .slots = workload.slots(pool.pool) };
    }

    Result run()
    {
        startNodes();
        scheduleArrivals();
        scheduleFaults();
        scheduleReports();
        const TimePoint end { m_workload.length + drainTime };
        while (!m_events.empty() && m_events.top().at <= end) {
            auto action = std::move(const_cast<Event&>(m_events.top()).action);
            m_now = m_events.top().at;
            m_events.pop();
            action();
        }
        return std::move(m_result);
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order { 0 };
        std::function<void()> action;

        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct Node {
        NodeId id;
        std::unique_ptr<policy::TrafficPolicy> policy;
        ReportReader* reader { nullptr };
        Deadline tick { Deadline::never() };
        std::uint64_t tickNumber { 0 };
        bool isAlive { true };
    };
    struct Worker {
        PoolId pool;
        std::int64_t slots { 0 };
        std::int64_t busy { 0 };
        std::optional<WorkerFault> fault;
        std::unordered_map<RequestId, std::uint64_t> running;
    };
    struct Gauge {
        std::int64_t slots { 0 };
        std::int64_t taken { 0 }; // busy, or a message about it is under way
        std::int64_t waiting { 0 };
        TimePoint since {};
    };

    void at(TimePoint when, std::function<void()> action) { m_events.push({ when, m_order++, std::move(action) }); }
    void after(Duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }

    void startNodes()
    {
        for (std::size_t index = 0; index < m_workload.nodes; ++index) {
            Node node { .id = NodeId { "n" + std::to_string(100 + index) } };
            node.policy = m_setting.factory(index);
            node.reader = dynamic_cast<ReportReader*>(node.policy.get());
            m_nodes.push_back(std::move(node));
        }
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            tellPeers(index);
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            handle(index, m_workload.view);
        if (m_setting.hasHomes)
            tellHomes(1);
    }

    void tellPeers(std::size_t index)
    {
        policy::PeersChanged peers { .self = m_nodes[index].id };
        for (const auto& node : m_nodes) {
            if (node.isAlive)
                peers.live.push_back(node.id);
        }
        handle(index, peers);
    }

    void tellHomes(std::uint64_t term)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            std::size_t number = 0;
            for (const auto& pool : m_workload.view.pools) {
                std::size_t home = number++ % m_nodes.size();
                if (!m_nodes[home].isAlive)
                    home = (home + 1) % m_nodes.size();
                handle(index, policy::HomeChanged { pool.pool, m_nodes[home].id, term });
            }
        }
    }

    void scheduleArrivals()
    {
        for (const auto& arrival : m_workload.arrivals) {
            m_fateIndex[arrival.spec.id] = m_result.fates.size();
            m_result.fates.push_back({ .arrival = &arrival });
            at(arrival.at, [this, &arrival] { submit(arrival); });
            if (arrival.cancelAt)
                at(*arrival.cancelAt, [this, &arrival] { handle(arrival.node, policy::Cancel { arrival.spec.id }); });
        }
    }

    void submit(const Arrival& arrival)
    {
        std::size_t node = arrival.node;
        if (!m_nodes[node].isAlive)
            node = (node + 1) % m_nodes.size();
        changeGauge(arrival.spec.pool, 0, 1);
        handle(node, policy::Submit { arrival.spec });
    }

    void scheduleFaults()
    {
        for (const auto& span : m_setting.faults) {
            at(span.from, [this, &span] { m_workers[span.worker].fault = span.fault; });
            at(span.until, [this, &span] { m_workers[span.worker].fault.reset(); });
        }
        if (!m_setting.dyingNode)
            return;
        at(m_setting.dyingAt, [this] { m_nodes[*m_setting.dyingNode].isAlive = false; });
        at(m_setting.dyingAt + timeToNoticeDeath, [this] {
            for (std::size_t index = 0; index < m_nodes.size(); ++index)
                tellPeers(index);
            if (m_setting.hasHomes)
                tellHomes(2);
        });
    }

    void scheduleReports()
    {
        const bool isRead
            = std::any_of(m_nodes.begin(), m_nodes.end(), [](const auto& node) { return node.reader != nullptr; });
        if (isRead)
            after(reportInterval, [this] { report(); });
    }

    void report()
    {
        std::vector<std::pair<VmId, std::int64_t>> busy;
        for (const auto& worker : m_workload.view.workers)
            busy.emplace_back(worker.id, m_workers[worker.id].busy);
        after(reportDelay, [this, busy = std::move(busy), asOf = m_now] {
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                for (const auto& [worker, slots] : busy)
                    m_nodes[index].reader->report(worker, slots, asOf);
                handle(index, policy::Tick {});
            }
        });
        if (m_now.time_since_epoch() < m_workload.length + drainTime)
            after(reportInterval, [this] { report(); });
    }

    void handle(std::size_t index, const policy::TrafficEvent& event)
    {
        auto& node = m_nodes[index];
        if (!node.isAlive)
            return;
        for (const auto& decision : node.policy->handle(event, m_now))
            std::visit([&](const auto& typed) { carryOut(index, typed); }, decision);
        scheduleTick(index);
    }

    void scheduleTick(std::size_t index)
    {
        auto& node = m_nodes[index];
        const Deadline wake = node.policy->nextWake();
        if (wake == node.tick || wake == Deadline::never())
            return;
        node.tick = wake;
        const auto number = ++node.tickNumber;
        at(std::max(wake.at(), m_now + minTickGap), [this, index, number] {
            if (m_nodes[index].tickNumber != number)
                return;
            m_nodes[index].tick = Deadline::never();
            handle(index, policy::Tick {});
        });
    }

    void carryOut(std::size_t index, const policy::Dispatch& decision)
    {
        auto& fate = fateOf(decision.request);
        auto& counts = m_result.pools[fate.arrival->spec.pool];
        ++counts.dispatches;
        counts.retries += decision.attemptNumber > 1 ? 1 : 0;
        ++fate.dispatches;
        changeGauge(fate.arrival->spec.pool, 1, -1);
        after(m_setting.messageDelay, [this, index, decision] { arrive(index, decision.request, decision.worker); });
    }

    void arrive(std::size_t index, const RequestId& request, const VmId& id)
    {
        auto& worker = m_workers[id];
        auto& fate = fateOf(request);
        if (worker.fault == WorkerFault::IsGone || worker.busy >= worker.slots) {
            ++m_result.pools[worker.pool].refusals;
            changeGauge(worker.pool, -1, 0);
            return answer(index, request, id, AttemptEnd::Refused);
        }
        ++worker.busy;
        ++fate.starts;
        if (!fate.started)
            fate.started = m_now;
        const bool failsFast = worker.fault == WorkerFault::FailsFast;
        const auto number = ++m_runs;
        worker.running[request] = number;
        after(failsFast ? failTime : fate.arrival->runTime, [this, index, request, id, number, failsFast] {
            end(index, request, id, number, failsFast ? AttemptEnd::Failed : AttemptEnd::Completed);
        });
    }

    void end(std::size_t index, const RequestId& request, const VmId& id, std::uint64_t number, AttemptEnd how)
    {
        auto& worker = m_workers[id];
        auto found = worker.running.find(request);
        if (found == worker.running.end() || found->second != number)
            return;
        worker.running.erase(found);
        --worker.busy;
        changeGauge(worker.pool, -1, 0);
        answer(index, request, id, worker.fault == WorkerFault::IsGone ? AttemptEnd::Lost : how);
    }

    void answer(std::size_t index, const RequestId& request, const VmId& worker, AttemptEnd end)
    {
        after(m_setting.messageDelay, [this, index, request, worker, end] {
            auto& fate = fateOf(request);
            if (m_nodes[index].isAlive && fate.finals == 0)
                changeGauge(fate.arrival->spec.pool, 0, 1);
            handle(index, policy::AttemptEnded { request, worker, end });
        });
    }

    void carryOut(std::size_t /*index*/, const policy::RejectRequest& decision)
    {
        auto& fate = finish(decision.request);
        fate.reason = decision.reason;
    }

    void carryOut(std::size_t /*index*/, const policy::ConcludeRequest& decision)
    {
        auto& fate = finish(decision.request);
        fate.isCompleted = decision.end == AttemptEnd::Completed;
    }

    Fate& finish(const RequestId& request)
    {
        auto& fate = fateOf(request);
        ++fate.finals;
        fate.answered = m_now;
        changeGauge(fate.arrival->spec.pool, 0, -1);
        return fate;
    }

    void carryOut(std::size_t index, const policy::StopAttempt& decision)
    {
        after(m_setting.messageDelay, [this, index, decision] {
            auto& running = m_workers[decision.worker].running;
            if (auto found = running.find(decision.request); found != running.end())
                end(index, decision.request, decision.worker, found->second, AttemptEnd::Stopped);
        });
    }

    void carryOut(std::size_t /*index*/, const policy::RestrainAttempt&) { }

    void carryOut(std::size_t /*index*/, const policy::SendAsk& decision)
    {
        ++m_result.creditMessages;
        m_result.creditBytes += messageOverhead + bytesOf(decision.ask.idle) + bytesOf(decision.ask.inUse);
        deliver(decision.home, policy::CreditAsked { decision.ask });
    }

    void carryOut(std::size_t /*index*/, const policy::SendGrant& decision)
    {
        ++m_result.creditMessages;
        m_result.creditBytes += messageOverhead + bytesOf(decision.grant.granted) + bytesOf(decision.grant.recalled);
        deliver(decision.grant.to, policy::CreditGranted { decision.grant });
    }

    void deliver(const NodeId& to, const policy::TrafficEvent& event)
    {
        auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node.id == to; });
        const auto index = static_cast<std::size_t>(found - m_nodes.begin());
        after(m_setting.messageDelay, [this, index, event] { handle(index, event); });
    }

    void changeGauge(const PoolId& pool, std::int64_t taken, std::int64_t waiting)
    {
        auto& gauge = m_gauges[pool];
        auto& counts = m_result.pools[pool];
        const double elapsed = std::chrono::duration<double>(m_now - gauge.since).count();
        gauge.since = m_now;
        if (gauge.waiting > 0) {
            const auto idle = std::max<std::int64_t>(gauge.slots - gauge.taken, 0);
            counts.idleWhileWaiting += elapsed * static_cast<double>(std::min(idle, gauge.waiting));
            counts.waitingTime += elapsed;
        }
        gauge.taken += taken;
        gauge.waiting += waiting;
    }

    Fate& fateOf(const RequestId& request) { return m_result.fates[m_fateIndex.at(request)]; }

    const Workload& m_workload;
    const Setting& m_setting;
    Result m_result;
    TimePoint m_now {};
    std::priority_queue<Event> m_events;
    std::uint64_t m_order { 0 };
    std::uint64_t m_runs { 0 };
    std::vector<Node> m_nodes;
    std::unordered_map<VmId, Worker> m_workers;
    std::map<PoolId, Gauge> m_gauges;
    std::unordered_map<RequestId, std::size_t> m_fateIndex;
};

} // namespace

Result simulate(const Workload& workload, const Setting& setting) { return Simulation { workload, setting }.run(); }

double waitQuantile(const Result& result, double share, const std::function<bool(const Fate&)>& isCounted)
{
    std::vector<double> waits;
    for (const auto& fate : result.fates) {
        if (fate.started && isCounted(fate))
            waits.push_back(std::chrono::duration<double, std::milli>(fate.wait()).count());
    }
    if (waits.empty())
        return 0;
    const auto position = static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(position), waits.end());
    return waits[position];
}

} // namespace rattanrack::measure
