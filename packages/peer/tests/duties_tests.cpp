#include "simulated_cluster.h"

#include "rattanrack/peer/rendezvous.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace rattanrack::peer {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

std::vector<DutyName> dutyNames(int count)
{
    std::vector<DutyName> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        names.push_back(DutyName { "plan/" + std::to_string(i) });
    return names;
}

std::string holderInTable(const SimulatedCluster& cluster, const DutyName& name)
{
    const auto row = cluster.table.rows().find(dutyRowPrefix + name.value());
    return row == cluster.table.rows().end() ? "" : nlohmann::json::parse(row->second.value).at("holder");
}

/// Whether each duty is held by exactly one node, and the holder in its row is live.
bool isEachHeldOnce(const SimulatedCluster& cluster, const std::vector<DutyName>& names)
{
    for (const DutyName& name : names) {
        std::size_t holders = 0;
        for (const auto& [id, node] : cluster.nodes)
            holders += node.duties->isHeld(name) ? 1 : 0;
        if (holders != 1 || !cluster.nodes.contains(NodeId { holderInTable(cluster, name) }))
            return false;
    }
    return true;
}

bool areAtPreferred(const SimulatedCluster& cluster, const std::vector<DutyName>& names)
{
    std::vector<NodeId> ids;
    for (const auto& [id, node] : cluster.nodes)
        ids.push_back(id);
    return std::all_of(names.begin(), names.end(), [&](const DutyName& name) {
        return holderInTable(cluster, name) == rendezvousChoice(name.value(), ids).value();
    });
}

/// Number of duty rows that have changed since version `before`.
std::size_t changesSince(const SimulatedCluster& cluster, platform::RowVersion before)
{
    return cluster.table.scan(dutyRowPrefix, before).size();
}

platform::RowVersion newestVersion(const SimulatedCluster& cluster)
{
    platform::RowVersion newest = 0;
    for (const auto& [key, row] : cluster.table.rows())
        newest = std::max(newest, row.version);
    return newest;
}

std::unique_ptr<SimulatedCluster> runningCluster(int size, int duties, std::uint32_t seed)
{
    auto cluster = std::make_unique<SimulatedCluster>(seed, dutyNames(duties));
    for (int i = 1; i <= size; ++i)
        cluster->start(i, i % 2);
    cluster->run(minutes { 3 });
    EXPECT_TRUE(isEachHeldOnce(*cluster, dutyNames(duties)));
    EXPECT_TRUE(areAtPreferred(*cluster, dutyNames(duties)));
    return cluster;
}

constexpr int manyNodes = 14;
constexpr int manyDuties = 120;

TEST(Duties, ADeadNodesDutiesAreTakenOverWithinFifteenSeconds)
{
    const auto names = dutyNames(manyDuties);
    const auto cluster = runningCluster(manyNodes, manyDuties, 1);
    cluster->kill(cluster->nodes.begin()->first);
    int waited = 0;
    while (!isEachHeldOnce(*cluster, names) && waited < 60) {
        cluster->run(seconds { 1 });
        ++waited;
    }
    RecordProperty("takeover_seconds", waited);
    EXPECT_LE(waited, 15);
}

TEST(Duties, TheDutiesOfAFailedDataCentreAreTakenOverWithFewCommits)
{
    const auto names = dutyNames(manyDuties);
    const auto cluster = runningCluster(manyNodes, manyDuties, 2);
    constexpr int lost = 3;
    for (int i = 0; i < lost; ++i)
        cluster->kill(cluster->nodes.begin()->first);
    cluster->counts.clear();
    int waited = 0;
    while (!isEachHeldOnce(*cluster, names) && waited < 60) {
        cluster->run(seconds { 1 });
        ++waited;
    }
    RecordProperty("takeover_seconds", waited);
    EXPECT_LE(waited, 20);
    const auto renewals = (manyNodes - lost) * (static_cast<std::uint64_t>(waited) + 2) / 2;
    EXPECT_LE(cluster->counts["commit"], renewals + 60U);
}

TEST(Duties, AnOutageOfTheTableMovesNoDuty)
{
    const auto names = dutyNames(manyDuties);
    const auto cluster = runningCluster(manyNodes, manyDuties, 3);
    const auto before = newestVersion(*cluster);
    cluster->faults.isTableDown = true;
    cluster->run(minutes { 10 });
    for (const auto& [id, node] : cluster->nodes)
        EXPECT_EQ(node.duties->heldCount(), 0U) << "holds duties without a lease";
    cluster->faults.isTableDown = false;
    cluster->run(seconds { 30 });
    EXPECT_TRUE(isEachHeldOnce(*cluster, names));
    EXPECT_EQ(changesSince(*cluster, before), 0U);
}

TEST(Duties, APartitionBetweenRegionsMovesNoDuty)
{
    const auto cluster = runningCluster(14, 60, 4);
    const auto before = newestVersion(*cluster);
    cluster->faults.areRegionsPartitioned = true;
    cluster->run(minutes { 5 });
    EXPECT_EQ(changesSince(*cluster, before), 0U);
    cluster->faults.areRegionsPartitioned = false;
    cluster->run(minutes { 2 });
    EXPECT_EQ(changesSince(*cluster, before), 0U);
}

TEST(Duties, ANewNodeGetsItsDutiesOnceAndNoOtherDutyMoves)
{
    const auto names = dutyNames(60);
    const auto cluster = runningCluster(7, 60, 5);
    const auto before = newestVersion(*cluster);
    const NodeId started = cluster->start(8).id;
    cluster->run(seconds { 25 });
    EXPECT_EQ(changesSince(*cluster, before), 0U) << "duties moved to the new node before it was stable";
    const auto commits = cluster->table.commits();
    cluster->run(minutes { 3 });
    EXPECT_TRUE(areAtPreferred(*cluster, names));
    EXPECT_EQ(changesSince(*cluster, before), cluster->nodes.at(started).duties->heldCount());
    EXPECT_GT(cluster->nodes.at(started).duties->heldCount(), 0U);
    EXPECT_GT(cluster->table.commits(), commits);
}

TEST(Duties, ALeavingNodeHandsOverWithinThreeSeconds)
{
    const auto names = dutyNames(manyDuties);
    const auto cluster = runningCluster(7, manyDuties, 6);
    const NodeId leaving = cluster->nodes.begin()->first;
    cluster->nodes.at(leaving).membership->leave();
    cluster->run(seconds { 3 });
    EXPECT_EQ(cluster->nodes.at(leaving).duties->heldCount(), 0U);
    cluster->kill(leaving);
    cluster->run(seconds { 2 });
    EXPECT_TRUE(isEachHeldOnce(*cluster, names));
}

TEST(Duties, AHolderThatResumesAfterAPauseIsFencedAndItsWritesFail)
{
    const auto names = dutyNames(10);
    const auto cluster = runningCluster(3, 10, 7);
    const NodeId paused { holderInTable(*cluster, names[0]) };
    const auto guard = *cluster->nodes.at(paused).duties->guard(names[0]);
    EXPECT_TRUE(cluster->guardedWrite(paused, names[0], guard));
    cluster->pause(paused);
    cluster->run(seconds { 30 });
    EXPECT_NE(holderInTable(*cluster, names[0]), paused.value());
    EXPECT_FALSE(cluster->guardedWrite(paused, names[0], guard));
    cluster->resume(paused, SimulatedCluster::Backlog::Dropped);
    cluster->run(seconds { 1 });
    EXPECT_EQ(cluster->nodes.at(paused).fenceCount, 1U);
    EXPECT_FALSE(cluster->nodes.at(paused).duties->isHeld(names[0]));
    cluster->run(minutes { 3 });
    EXPECT_TRUE(areAtPreferred(*cluster, names));
}

TEST(Duties, ANodePartitionedFromTheTableLosesItsDuties)
{
    const auto names = dutyNames(20);
    const auto cluster = runningCluster(5, 20, 8);
    auto& cut = cluster->nodes.begin()->second;
    cut.isPartitionedFromTable = true;
    cluster->run(seconds { 8 });
    EXPECT_EQ(cut.duties->heldCount(), 0U);
    cluster->run(seconds { 40 });
    EXPECT_TRUE(isEachHeldOnce(*cluster, names));
}

TEST(Duties, ADutyIsNotHeldAfterAGuardConflictUntilItsRowIsRead)
{
    const auto names = dutyNames(4);
    const auto cluster = runningCluster(2, 4, 9);
    auto& node = cluster->nodes.at(NodeId { holderInTable(*cluster, names[0]) });
    const auto output = node.duties->onGuardConflict(names[0]);
    ASSERT_EQ(output.changes.size(), 1U);
    EXPECT_EQ(output.changes[0].event, DutyEvent::Lost);
    EXPECT_FALSE(node.duties->isHeld(names[0]));
    node.taken.erase(names[0]);
    cluster->run(seconds { 5 });
    EXPECT_TRUE(node.duties->isHeld(names[0])) << "the row still names the node as holder";
}

/// A guard that a node has had; a node may still use it after a pause of any length.
struct PastGuard {
    NodeId writer;
    DutyName name;
    platform::Condition condition;
};

void recordGuards(const SimulatedCluster& cluster, const std::vector<DutyName>& names, std::vector<PastGuard>& guards)
{
    for (const auto& [id, node] : cluster.nodes)
        for (const DutyName& name : names)
            if (const auto guard = node.duties->guard(name))
                guards.push_back({ id, name, *guard });
}

void applyAnyFault(SimulatedCluster& cluster, int size)
{
    const auto count = static_cast<int>(cluster.nodes.size());
    const NodeId node = std::next(cluster.nodes.begin(), *rc::gen::inRange(0, count))->first;
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
        cluster.pause(node);
        break;
    case 2:
        cluster.resume(node, SimulatedCluster::Backlog::Delivered);
        break;
    case 3:
        cluster.resume(node, SimulatedCluster::Backlog::Dropped);
        break;
    case 4:
        cluster.faults.isTableDown = !cluster.faults.isTableDown;
        break;
    case 5:
        cluster.faults.areRegionsPartitioned = !cluster.faults.areRegionsPartitioned;
        break;
    case 6:
        cluster.faults.responseLossRate = 0.1 * *rc::gen::inRange(0, 7);
        break;
    case 7:
        cluster.start(*rc::gen::inRange(1, size + 1), *rc::gen::inRange(0, 2));
        break;
    case 8:
        cluster.nodes.at(node).membership->leave();
        break;
    default:
        cluster.nodes.at(node).isPartitionedFromTable = *rc::gen::arbitrary<bool>();
    }
}

RC_GTEST_PROP(DutiesProperty, TwoNodesNeverWriteInOneTerm, (std::uint32_t seed))
{
    const auto names = dutyNames(6);
    constexpr int size = 4;
    SimulatedCluster cluster(seed, names);
    for (int i = 1; i <= size; ++i)
        cluster.start(i, i % 2);
    cluster.run(seconds { 20 });
    std::vector<PastGuard> guards;
    const int steps = *rc::gen::inRange(5, 30);
    for (int step = 0; step < steps; ++step) {
        applyAnyFault(cluster, size);
        for (int i = *rc::gen::inRange(0, 25); i > 0; --i) {
            cluster.run(seconds { 1 });
            recordGuards(cluster, names, guards);
            for (int write = 0; write < 3 && !guards.empty(); ++write) {
                const auto& guard = guards[*rc::gen::inRange<std::size_t>(0, guards.size())];
                cluster.guardedWrite(guard.writer, guard.name, guard.condition);
            }
        }
    }
    RC_ASSERT_FALSE(::testing::Test::HasFailure());

    cluster.faults = {};
    for (auto& [id, node] : cluster.nodes) {
        node.isPartitionedFromTable = false;
        cluster.resume(id);
    }
    for (int i = 1; i <= size; ++i)
        cluster.start(i, i % 2);
    cluster.run(minutes { 4 });
    RC_ASSERT(isEachHeldOnce(cluster, names));
    RC_ASSERT(areAtPreferred(cluster, names));
    RC_ASSERT_FALSE(::testing::Test::HasFailure());
}

} // namespace
} // namespace rattanrack::peer
