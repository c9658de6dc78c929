#include "simulated_cluster.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace rattanrack::peer {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration maxDistributionTime = seconds { 6 };

std::unique_ptr<SimulatedCluster> runningCluster(int size, std::uint32_t seed)
{
    auto cluster = std::make_unique<SimulatedCluster>(seed);
    for (int i = 1; i <= size; ++i)
        cluster->start(i, i % 2);
    cluster->run(seconds { 30 });
    return cluster;
}

SimulatedCluster::Node& nodeAt(SimulatedCluster& cluster, std::size_t index)
{
    return std::next(cluster.nodes.begin(), static_cast<std::ptrdiff_t>(index % cluster.nodes.size()))->second;
}

bool isInForceEverywhere(const SimulatedCluster& cluster, std::uint64_t version)
{
    return std::all_of(cluster.nodes.begin(), cluster.nodes.end(),
        [&](const auto& entry) { return entry.second.config->inForce().version >= version; });
}

/// Runs until the version is in force on each node, for a minute at most; returns the time taken.
Duration timeUntilInForce(SimulatedCluster& cluster, std::uint64_t version)
{
    const TimePoint begin = cluster.now;
    while (!isInForceEverywhere(cluster, version) && cluster.now - begin < minutes { 1 })
        cluster.run(milliseconds { 100 });
    return cluster.now - begin;
}

/// Proposes a change and runs until its outcome is reported, for 20 s at most.
ProposalOutcome proposeAndWait(SimulatedCluster& cluster, SimulatedCluster::Node& node, const ConfigProposal& proposal)
{
    cluster.propose(node, proposal);
    for (int i = 0; i < 200; ++i) {
        for (const ProposalOutcome& outcome : node.outcomes)
            if (outcome.attempt == proposal.attempt)
                return outcome;
        cluster.run(milliseconds { 100 });
    }
    ADD_FAILURE() << "no outcome";
    return {};
}

ConfigProposal proposal(const std::string& attempt, std::uint64_t basedOn)
{
    return { attempt, OperatorId { "op" }, basedOn, "pools: " + attempt };
}

TEST(ConfigDistribution, AChangeIsInForceOnAllNodesWithinSixSeconds)
{
    const auto cluster = runningCluster(42, 1);
    Duration longest {};
    for (std::uint64_t version = 1; version <= 20; ++version) {
        auto& node = nodeAt(*cluster, version * 7);
        const auto outcome = proposeAndWait(*cluster, node, proposal("a" + std::to_string(version), version - 1));
        ASSERT_EQ(outcome.status, ProposalStatus::Accepted);
        longest = std::max(longest, timeUntilInForce(*cluster, version));
    }
    RecordProperty("longest_ms", static_cast<int>(longest.count() / 1000));
    EXPECT_LE(longest, maxDistributionTime);
    EXPECT_EQ(nodeAt(*cluster, 3).config->inForce().text, "pools: a20");
    EXPECT_LE(cluster->table.scan("config", 0).size(), 2 * retainedVersions + 1) << "old documents are not removed";
}

TEST(ConfigDistribution, LostMessagesAndResponsesDoNotDelayAChange)
{
    const auto cluster = runningCluster(42, 2);
    cluster->faults.messageLossRate = 0.3;
    cluster->faults.responseLossRate = 0.1;
    Duration longest {};
    for (std::uint64_t version = 1; version <= 10; ++version) {
        const auto outcome
            = proposeAndWait(*cluster, nodeAt(*cluster, version), proposal("a" + std::to_string(version), version - 1));
        ASSERT_EQ(outcome.status, ProposalStatus::Accepted);
        longest = std::max(longest, timeUntilInForce(*cluster, version));
    }
    RecordProperty("longest_ms", static_cast<int>(longest.count() / 1000));
    EXPECT_LE(longest, maxDistributionTime);
}

TEST(ConfigDistribution, PeersDistributeAChangeWhenTheTableFailsRightAfterTheCommit)
{
    Duration longest {};
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        const auto cluster = runningCluster(42, 100 + seed);
        proposeAndWait(*cluster, nodeAt(*cluster, 0), proposal("first", 0));
        cluster->run(seconds { 10 });
        auto& node = nodeAt(*cluster, seed);
        cluster->propose(node, proposal("second", 1));
        while (node.config->inForce().version < 2)
            cluster->run(milliseconds { 1 });
        cluster->faults.isTableDown = true;
        longest = std::max(longest, timeUntilInForce(*cluster, 2));
    }
    RecordProperty("longest_ms", static_cast<int>(longest.count() / 1000));
    EXPECT_LE(longest, maxDistributionTime);
}

TEST(ConfigDistribution, ANewNodeGetsTheNewestConfigurationOfItsPeersDuringAnOutage)
{
    const auto cluster = runningCluster(7, 3);
    for (std::uint64_t version = 1; version <= 3; ++version)
        proposeAndWait(*cluster, nodeAt(*cluster, 0), proposal("a" + std::to_string(version), version - 1));
    cluster->run(seconds { 10 });
    cluster->faults.isTableDown = true;
    auto& started = cluster->start(9);
    EXPECT_FALSE(started.config->isReady());
    cluster->run(seconds { 10 });
    EXPECT_TRUE(started.config->isReady());
    EXPECT_EQ(started.config->inForce(), (ConfigDocument { 3, "pools: a3" }));
}

TEST(ConfigDistribution, ANewNodeWithoutPeersIsNotReadyDuringAnOutage)
{
    SimulatedCluster cluster(4);
    cluster.faults.isTableDown = true;
    const auto& node = cluster.start(1);
    cluster.run(minutes { 5 });
    EXPECT_FALSE(node.config->isReady());
}

TEST(ConfigDistribution, OneOfTwoConcurrentChangesGetsAConflictWithTheOther)
{
    const auto cluster = runningCluster(7, 5);
    auto& first = nodeAt(*cluster, 1);
    auto& second = nodeAt(*cluster, 2);
    cluster->propose(first, proposal("left", 0));
    cluster->propose(second, proposal("right", 0));
    cluster->run(seconds { 10 });
    ASSERT_EQ(first.outcomes.size(), 1U);
    ASSERT_EQ(second.outcomes.size(), 1U);
    const auto& won = first.outcomes[0].status == ProposalStatus::Accepted ? first : second;
    const auto& lost = &won == &first ? second : first;
    EXPECT_EQ(won.outcomes[0].status, ProposalStatus::Accepted);
    EXPECT_EQ(lost.outcomes[0].status, ProposalStatus::Conflict);
    EXPECT_EQ(lost.outcomes[0].current, won.outcomes[0].current);
}

TEST(ConfigDistribution, ARetryAfterALostResponseFindsTheAcceptedChange)
{
    const auto cluster = runningCluster(7, 6);
    proposeAndWait(*cluster, nodeAt(*cluster, 0), proposal("mine", 0));
    proposeAndWait(*cluster, nodeAt(*cluster, 1), proposal("later", 1));
    cluster->run(seconds { 5 });
    const auto again = proposeAndWait(*cluster, nodeAt(*cluster, 2), proposal("mine", 0));
    EXPECT_EQ(again.status, ProposalStatus::Accepted);
    EXPECT_EQ(again.current.version, 1U);
    EXPECT_EQ(nodeAt(*cluster, 2).config->inForce().version, 2U);
}

TEST(ConfigDistribution, AProposalDuringAnOutageIsUnavailable)
{
    const auto cluster = runningCluster(3, 7);
    cluster->faults.isTableDown = true;
    EXPECT_EQ(proposeAndWait(*cluster, nodeAt(*cluster, 0), proposal("a", 0)).status, ProposalStatus::Unavailable);
}

TEST(ConfigDistribution, ACommitWithoutAResponseBeforeAnOutageIsUnknown)
{
    ConfigDistribution distribution("10.0.0.1:1", 1, TimePoint {});
    TableRequests requests = distribution.propose(proposal("a", 0), TimePoint {}).requests;
    std::vector<ProposalOutcome> outcomes;
    for (TimePoint now; now < TimePoint { seconds { 15 } }; now += milliseconds { 200 }) {
        const TableRequests open = std::exchange(requests, {});
        for (const TableRequest& request : open) {
            const auto* commit = std::get_if<CommitRows>(&request);
            const auto* read = std::get_if<ReadRows>(&request);
            const bool isFirstRead = read && read->keys.size() == 2 && now == TimePoint {};
            const TableResponse response = commit
                ? TableResponse { CommitResponse { commit->exchange, { platform::CommitStatus::Unknown, 0, "" } } }
                : TableResponse { RowsResponse { read->exchange,
                    isFirstRead ? std::optional<platform::Rows> { platform::Rows {} } : std::nullopt } };
            const auto output = distribution.onResponse(response, now);
            requests.insert(requests.end(), output.requests.begin(), output.requests.end());
            outcomes.insert(outcomes.end(), output.outcomes.begin(), output.outcomes.end());
        }
        const auto output = distribution.tick(now);
        requests.insert(requests.end(), output.requests.begin(), output.requests.end());
        outcomes.insert(outcomes.end(), output.outcomes.begin(), output.outcomes.end());
    }
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].status, ProposalStatus::Unknown);
}

TEST(ConfigDistribution, ACorruptAnnouncementIsNotPutIntoForce)
{
    ConfigDistribution distribution("10.0.0.1:1", 1, TimePoint {});
    distribution.onAnnouncement({ 5, "text", 0, 0, 0, 1, "" }, TimePoint {});
    EXPECT_FALSE(distribution.isReady());
    distribution.onAnnouncement({ 5, "text", 4, 100, 100, 1, "" }, TimePoint {});
    EXPECT_FALSE(distribution.isReady());
}

RC_GTEST_PROP(ConfigDistributionProperty, OutcomesAreCorrectAndVersionsNeverDecrease, (std::uint32_t seed))
{
    constexpr int size = 5;
    SimulatedCluster cluster(seed);
    for (int i = 1; i <= size; ++i)
        cluster.start(i, i % 2);
    cluster.run(seconds { 5 });
    std::map<std::string, ConfigProposal> proposals;
    std::set<std::string> proposedTwice;
    std::vector<ProposalOutcome> outcomes;
    const auto collect = [&] {
        for (auto& [id, node] : cluster.nodes) {
            outcomes.insert(outcomes.end(), node.outcomes.begin(), node.outcomes.end());
            node.outcomes.clear();
        }
    };
    const int steps = *rc::gen::inRange(5, 30);
    for (int step = 0; step < steps; ++step) {
        auto& node = nodeAt(cluster, *rc::gen::inRange<std::size_t>(0, size));
        const std::string attempt = "a" + std::to_string(step);
        const auto basedOn = node.config->inForce().version;
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            cluster.pause(node.id);
            break;
        case 1:
            cluster.resume(node.id);
            break;
        case 2:
            cluster.faults.isTableDown = !cluster.faults.isTableDown;
            break;
        case 3:
            cluster.faults.responseLossRate = 0.1 * *rc::gen::inRange(0, 7);
            break;
        case 4:
            collect();
            cluster.start(*rc::gen::inRange(1, size + 1), 0);
            break;
        default:
            proposals[attempt] = { attempt, OperatorId { "op" }, basedOn, "täxt " + std::to_string(seed) + attempt };
            cluster.propose(node, proposals[attempt]);
            if (*rc::gen::arbitrary<bool>()) {
                cluster.propose(nodeAt(cluster, *rc::gen::inRange<std::size_t>(0, size)), proposals[attempt]);
                proposedTwice.insert(attempt);
            }
        }
        cluster.run(milliseconds { *rc::gen::inRange(0, 8000) });
    }
    cluster.faults = {};
    for (auto& [id, node] : cluster.nodes)
        cluster.resume(id);
    cluster.run(seconds { 30 });
    collect();
    for (const ProposalOutcome& outcome : outcomes) {
        const bool wasAccepted = cluster.accepted.contains(outcome.attempt);
        // The change was proposed on two nodes; the other one may have committed it.
        if (outcome.status == ProposalStatus::Unavailable && proposedTwice.contains(outcome.attempt))
            continue;
        if (outcome.status == ProposalStatus::Accepted)
            RC_ASSERT(wasAccepted);
        else if (outcome.status != ProposalStatus::Unknown)
            RC_ASSERT(!wasAccepted);
    }
    std::uint64_t newest = 0;
    std::string newestAttempt;
    for (const auto& [attempt, version] : cluster.accepted)
        if (version > newest) {
            newest = version;
            newestAttempt = attempt;
        }
    for (const auto& [id, node] : cluster.nodes) {
        RC_ASSERT(node.config->inForce().version == newest);
        RC_ASSERT(newest == 0 || node.config->inForce().text == proposals[newestAttempt].text);
    }
    RC_ASSERT_FALSE(::testing::Test::HasFailure());
}

} // namespace
} // namespace rattanrack::peer
