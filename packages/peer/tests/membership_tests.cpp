#include "simulated_cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace rattanrack::peer {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::size_t countChanges(const SimulatedCluster& cluster, MemberEvent event)
{
    std::size_t total = 0;
    for (const auto& [id, node] : cluster.nodes)
        for (const MemberChange& change : node.changes)
            total += change.event == event ? 1 : 0;
    return total;
}

void clearChanges(SimulatedCluster& cluster)
{
    for (auto& [id, node] : cluster.nodes)
        node.changes.clear();
}

bool areAllLive(const SimulatedCluster& cluster)
{
    for (const auto& [id, node] : cluster.nodes)
        if (node.membership->liveMembers().size() != cluster.nodes.size() - 1
            || !node.membership->isRegistered(cluster.now))
            return false;
    return true;
}

std::unique_ptr<SimulatedCluster> runningCluster(int size, std::uint32_t seed)
{
    auto cluster = std::make_unique<SimulatedCluster>(seed);
    for (int i = 1; i <= size; ++i)
        cluster->start(i, i % 2);
    cluster->run(seconds { 30 });
    EXPECT_TRUE(areAllLive(*cluster));
    return cluster;
}

TEST(Membership, NoNodeIsSuspectedWhenFewMessagesAreLost)
{
    const auto cluster = runningCluster(42, 1);
    clearChanges(*cluster);
    cluster->faults.messageLossRate = 0.05;
    cluster->run(minutes { 10 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Suspected), 0U);
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Gone), 0U);
}

TEST(Membership, AKilledNodeIsGoneOnAllNodesWithinTwentyFiveSeconds)
{
    const auto cluster = runningCluster(42, 2);
    const NodeId dead = cluster->nodes.begin()->first;
    cluster->kill(dead);
    cluster->run(seconds { 25 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Gone), 41U);
    EXPECT_TRUE(areAllLive(*cluster));
    cluster->run(minutes { 2 });
    EXPECT_EQ(cluster->table.version(nodeRowKey(dead)), 0U) << "the row of the killed node was not removed";
}

TEST(Membership, ANodeThatResumesAfterAPauseSuspectsNoOther)
{
    const auto cluster = runningCluster(7, 3);
    const NodeId paused = cluster->nodes.begin()->first;
    cluster->pause(paused);
    cluster->run(minutes { 3 });
    clearChanges(*cluster);
    cluster->resume(paused, SimulatedCluster::Backlog::Dropped);
    cluster->run(seconds { 30 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Suspected), 0U);
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Gone), 0U);
    EXPECT_TRUE(areAllLive(*cluster));
}

TEST(Membership, PartitionedRegionsSuspectEachOtherButNoNodeIsGone)
{
    const auto cluster = runningCluster(14, 4);
    cluster->faults.areRegionsPartitioned = true;
    cluster->run(seconds { 30 });
    clearChanges(*cluster);
    cluster->run(minutes { 5 });
    for (const auto& [id, node] : cluster->nodes) {
        EXPECT_TRUE(node.changes.empty()) << id;
        EXPECT_EQ(node.membership->liveMembers().size(), 6U) << id;
        EXPECT_EQ(node.membership->liveness().members.size(), 13U) << id;
    }
    cluster->faults.areRegionsPartitioned = false;
    cluster->run(seconds { 20 });
    EXPECT_TRUE(areAllLive(*cluster));
}

TEST(Membership, AnOutageOfTheTableChangesNoMemberAndEndsWithoutABurstOfCommits)
{
    const auto cluster = runningCluster(42, 5);
    clearChanges(*cluster);
    cluster->faults.isTableDown = true;
    cluster->run(minutes { 15 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Suspected), 0U);
    cluster->faults.isTableDown = false;
    cluster->counts.clear();
    cluster->run(seconds { 1 });
    EXPECT_LE(cluster->counts["commit"], 42U * 2);
    cluster->run(seconds { 30 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Gone), 0U);
    EXPECT_TRUE(areAllLive(*cluster));
}

TEST(Membership, NoNodeIsGoneAfterAnOutageOfTheTableDuringAPartition)
{
    const auto cluster = runningCluster(14, 9);
    cluster->faults.areRegionsPartitioned = true;
    cluster->run(seconds { 30 }); // From then on, the rows of the other region are read each second.
    cluster->faults.isTableDown = true;
    cluster->run(minutes { 5 });
    cluster->faults.isTableDown = false;
    cluster->run(minutes { 1 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Gone), 0U);
}

TEST(Membership, ANodeThatStartsDuringAnOutageBecomesKnownThroughPeers)
{
    const auto cluster = runningCluster(12, 6);
    cluster->faults.isTableDown = true;
    cluster->run(seconds { 30 });
    const NodeId started = cluster->start(50).id;
    cluster->run(seconds { 30 });
    for (const auto& [id, node] : cluster->nodes)
        EXPECT_EQ(node.membership->liveMembers().size(), 12U) << id;
    EXPECT_FALSE(cluster->nodes.at(started).membership->isRegistered(cluster->now));
}

TEST(Membership, AReplacementAtTheSameAddressIsANewMember)
{
    const auto cluster = runningCluster(7, 7);
    cluster->start(3);
    cluster->run(seconds { 25 });
    EXPECT_TRUE(areAllLive(*cluster));
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Gone), 7U) << "the new node has read the old row, too";
}

TEST(Membership, ALeavingNodeIsReportedAsLeaving)
{
    const auto cluster = runningCluster(7, 8);
    auto& leaving = cluster->nodes.begin()->second;
    leaving.membership->leave();
    cluster->run(seconds { 12 });
    EXPECT_EQ(countChanges(*cluster, MemberEvent::Leaving), 6U);
}

TEST(Membership, ReceivesTheConfigVersionOfANodeThroughAnotherPeer)
{
    Membership membership({ NodeId { "a" }, "10.0.0.1:1", DataCenterId { "dc" }, {}, 1 }, TimePoint {});
    Heartbeat heartbeat;
    heartbeat.from = NodeId { "b" };
    heartbeat.address = "10.0.0.2:1";
    heartbeat.sequence = 1;
    heartbeat.introductions = { { NodeId { "c" }, "10.0.0.3:1", DataCenterId { "dc" }, 1, false } };
    membership.onHeartbeat(heartbeat, TimePoint {});
    heartbeat.sequence = 2;
    heartbeat.introductions.clear();
    const auto versionOfC = [&] {
        for (const Member& member : membership.liveness().members) {
            if (member.id == NodeId { "c" })
                return member.digest.configVersion;
        }
        return std::uint64_t { 0 };
    };
    heartbeat.seen = { { nodeHash(NodeId { "c" }), 2, 9 } };
    membership.onHeartbeat(heartbeat, TimePoint {});
    EXPECT_EQ(versionOfC(), 9U);
    heartbeat.sequence = 3;
    heartbeat.seen = { { nodeHash(NodeId { "c" }), 1, 8 } };
    membership.onHeartbeat(heartbeat, TimePoint {});
    EXPECT_EQ(versionOfC(), 9U) << "a late report must not lower the version";
}

TEST(Membership, InvalidHeartbeatsDoNotExceedTheLimitOfMembers)
{
    Membership membership({ NodeId { "a" }, "10.0.0.1:1", DataCenterId { "dc" }, {}, 1 }, TimePoint {});
    for (std::uint64_t i = 0; i < 5000; ++i) {
        Heartbeat heartbeat;
        heartbeat.from = NodeId { "x" + std::to_string(i) };
        heartbeat.address = i % 2 == 0 ? "10.0.0.2:1" : std::string(1000, 'a');
        heartbeat.sequence = i + 1;
        heartbeat.seen.resize(2000, { 7, 7, 7 });
        heartbeat.introductions.resize(50, { NodeId { "y" + std::to_string(i) }, "z", DataCenterId {}, 1, false });
        membership.onHeartbeat(heartbeat, TimePoint {});
    }
    EXPECT_LE(membership.liveness().members.size(), maxMembers);
}

RC_GTEST_PROP(MembershipProperty, AllNodesAreLiveAgainAfterAnyFaults, (std::uint32_t seed))
{
    SimulatedCluster cluster(seed);
    const int size = 5;
    for (int i = 1; i <= size; ++i)
        cluster.start(i, i % 2);
    const auto anyNode = [&] { return std::next(cluster.nodes.begin(), *rc::gen::inRange(0, size))->first; };
    const int steps = *rc::gen::inRange(5, 25);
    for (int step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            cluster.pause(anyNode());
            break;
        case 1:
            cluster.resume(anyNode());
            break;
        case 2:
            cluster.faults.isTableDown = !cluster.faults.isTableDown;
            break;
        case 3:
            cluster.faults.areRegionsPartitioned = !cluster.faults.areRegionsPartitioned;
            break;
        case 4:
            cluster.faults.responseLossRate = 0.1 * *rc::gen::inRange(0, 5);
            break;
        case 5:
            cluster.faults.messageLossRate = 0.1 * *rc::gen::inRange(0, 6);
            break;
        case 6:
            cluster.start(*rc::gen::inRange(1, size + 1), *rc::gen::inRange(0, 2));
            break;
        default:
            cluster.nodes.at(anyNode()).isPartitionedFromTable = *rc::gen::arbitrary<bool>();
        }
        cluster.run(seconds { *rc::gen::inRange(0, 30) });
    }
    cluster.faults = {};
    for (auto& [id, node] : cluster.nodes) {
        node.isPartitionedFromTable = false;
        cluster.resume(id);
    }
    cluster.run(seconds { 60 });
    RC_ASSERT(areAllLive(cluster));
}

} // namespace
} // namespace rattanrack::peer
