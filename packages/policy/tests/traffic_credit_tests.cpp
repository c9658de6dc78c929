#include "rattanrack/policy/traffic_core.h"

#include "rattanrack/base/invariant.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

const PoolId pool { "pool" };
const WorkKind kind { "plan" };
constexpr std::size_t nodes = 3;
constexpr int workers = 2;
constexpr std::int64_t slots = 4;
constexpr Duration step = 2ms;

/// How badly the network between the nodes treats a run.
struct Network {
    int lossPercent { 0 };
    int duplicatePercent { 0 };
    int maxDelaySteps { 1 };
};

/// Three nodes with their cores, and workers that count their slots.
class Cluster {
public:
    Cluster(std::uint64_t seed, const Network& network)
        : m_random(seed)
        , m_network(network)
    {
        setInvariantsFatal(true);
        PeersChanged peers;
        for (std::size_t index = 0; index < nodes; ++index) {
            m_cores.push_back(createTrafficCore(index));
            peers.live.push_back(id(index));
        }
        for (std::size_t index = 0; index < nodes; ++index) {
            peers.self = id(index);
            handle(index, peers);
            handle(index, view());
        }
    }

    static NodeId id(std::size_t index) { return NodeId { "n" + std::to_string(index) }; }

    void setHome(std::size_t home, std::uint64_t term)
    {
        for (std::size_t index = 0; index < nodes; ++index)
            handle(index, HomeChanged { pool, id(home), term });
    }

    void submit(std::size_t node, std::int64_t memory = 100, Urgency urgency = Urgency::Normal)
    {
        const RequestId request { "q" + std::to_string(m_submitted++) };
        handle(node,
            Submit { { .id = request,
                .pool = pool,
                .kind = kind,
                .urgency = urgency,
                .deadline = Deadline::after(m_now, 10min),
                .declaredSize = { Millicores { 100 }, Mebibytes { memory }, Accelerators { 0 } },
                .declaredRunTime = 20ms } });
    }

    void advance(Duration duration)
    {
        const TimePoint until = m_now + duration;
        while (m_now < until) {
            m_now += step;
            while (!m_pending.empty() && m_pending.begin()->first <= m_now) {
                auto [node, event] = m_pending.begin()->second;
                m_pending.erase(m_pending.begin());
                if (const auto* ended = std::get_if<AttemptEnded>(&event))
                    m_running[ended->worker] -= m_credits[ended->request];
                handle(node, event);
            }
            for (std::size_t index = 0; index < nodes; ++index) {
                if (m_cores[index]->nextWake().hasPassed(m_now))
                    handle(index, Tick {});
            }
        }
    }

    std::size_t submitted() const { return m_submitted; }
    std::size_t completed() const { return m_completed; }
    std::size_t messages() const { return m_messages; }
    bool isOverfull() const { return m_isOverfull; }

private:
    static ViewChanged view()
    {
        ViewChanged event;
        for (int index = 0; index < workers; ++index) {
            event.workers.push_back({ .id = VmId { "w" + std::to_string(index) },
                .pool = pool,
                .capacity = { Millicores { 4000 }, Mebibytes { 4000 }, Accelerators { 0 } },
                .slots = Slots { slots } });
        }
        event.kinds.push_back({ .kind = kind, .pool = pool });
        event.pools.push_back({ .pool = pool });
        return event;
    }

    void handle(std::size_t node, const TrafficEvent& event)
    {
        for (const auto& decision : m_cores[node]->handle(event, m_now))
            std::visit([&](const auto& typed) { carryOut(node, typed); }, decision);
    }

    void carryOut(std::size_t node, const Dispatch& decision)
    {
        const auto credits = static_cast<std::int64_t>(m_wide.contains(decision.request) ? 3 : 1);
        m_credits[decision.request] = credits;
        m_running[decision.worker] += credits;
        m_isOverfull |= m_running[decision.worker] > slots;
        m_pending.emplace(m_now + 20ms,
            std::pair {
                node, TrafficEvent { AttemptEnded { decision.request, decision.worker, AttemptEnd::Completed } } });
    }
    void carryOut(std::size_t, const ConcludeRequest&) { ++m_completed; }
    void carryOut(std::size_t, const RejectRequest&) { }
    void carryOut(std::size_t, const StopAttempt&) { }
    void carryOut(std::size_t, const RestrainAttempt&) { }
    void carryOut(std::size_t, const SendAsk& decision) { send(decision.home, CreditAsked { decision.ask }); }
    void carryOut(std::size_t, const SendGrant& decision) { send(decision.grant.to, CreditGranted { decision.grant }); }

    void send(const NodeId& to, const TrafficEvent& event)
    {
        ++m_messages;
        const auto node = static_cast<std::size_t>(to.value().back() - '0');
        std::uniform_int_distribution<int> percent { 0, 99 };
        std::uniform_int_distribution<int> delay { 1, m_network.maxDelaySteps };
        if (percent(m_random) < m_network.lossPercent)
            return;
        m_pending.emplace(m_now + step * delay(m_random), std::pair { node, event });
        if (percent(m_random) < m_network.duplicatePercent)
            m_pending.emplace(m_now + step * delay(m_random), std::pair { node, event });
    }

public:
    /// Requests that take three credits.
    std::map<RequestId, bool> m_wide;

private:
    std::mt19937_64 m_random;
    Network m_network;
    std::vector<std::unique_ptr<TrafficPolicy>> m_cores;
    TimePoint m_now {};
    std::multimap<TimePoint, std::pair<std::size_t, TrafficEvent>> m_pending;
    std::map<VmId, std::int64_t> m_running;
    std::map<RequestId, std::int64_t> m_credits;
    std::size_t m_submitted { 0 };
    std::size_t m_completed { 0 };
    std::size_t m_messages { 0 };
    bool m_isOverfull { false };
};

TEST(TrafficCredits, oneNodeReachesAllSlotsThroughTheHome)
{
    Cluster cluster { 1, {} };
    cluster.setHome(0, 1);
    cluster.advance(100ms);
    for (int count = 0; count < workers * slots; ++count)
        cluster.submit(1);
    cluster.advance(40ms);
    EXPECT_EQ(cluster.completed(), static_cast<std::size_t>(workers * slots));
    EXPECT_FALSE(cluster.isOverfull());
}

TEST(TrafficCredits, nodesWithoutAHomeUseTheirStandingCredits)
{
    Cluster cluster { 1, {} };
    for (std::size_t node = 0; node < nodes; ++node) {
        for (int count = 0; count < 10; ++count)
            cluster.submit(node);
    }
    cluster.advance(1s);
    EXPECT_EQ(cluster.completed(), cluster.submitted());
    EXPECT_EQ(cluster.messages(), 0U);
    EXPECT_FALSE(cluster.isOverfull());
}

TEST(TrafficCredits, aWideRequestGathersCreditsOfOneWorker)
{
    Cluster cluster { 1, {} };
    cluster.setHome(0, 1);
    cluster.advance(100ms);
    cluster.m_wide[RequestId { "q0" }] = true;
    cluster.submit(2, 3000);
    cluster.advance(500ms);
    EXPECT_EQ(cluster.completed(), 1U);
    EXPECT_FALSE(cluster.isOverfull());
}

TEST(TrafficCredits, aNewHomeRebuildsTheLedger)
{
    Cluster cluster { 1, {} };
    cluster.setHome(0, 1);
    cluster.advance(100ms);
    for (int count = 0; count < 40; ++count)
        cluster.submit(2);
    cluster.advance(30ms);
    cluster.setHome(1, 2);
    cluster.advance(1s);
    EXPECT_EQ(cluster.completed(), cluster.submitted());
    EXPECT_FALSE(cluster.isOverfull());
}

RC_GTEST_PROP(TrafficCredits, noSlotIsGrantedTwiceWhateverHappensToMessages, ())
{
    const Network network { *rc::gen::inRange(0, 40), *rc::gen::inRange(0, 40), *rc::gen::inRange(1, 60) };
    Cluster cluster { *rc::gen::arbitrary<std::uint64_t>(), network };
    cluster.setHome(*rc::gen::inRange<std::size_t>(0, nodes), 1);
    const auto rounds = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 80)));
    for (const auto& [count, pause] : rounds) {
        for (int number = 0; number < count; ++number)
            cluster.submit(*rc::gen::inRange<std::size_t>(0, nodes));
        cluster.advance(std::chrono::milliseconds { pause });
    }
    cluster.advance(60s);
    RC_ASSERT(!cluster.isOverfull());
    RC_ASSERT(cluster.completed() == cluster.submitted());
}

} // namespace
