#include "faulty_table.h"

#include "rattanrack/claims/claim_store.h"

#include <gtest/gtest.h>

#include <future>

using namespace rattanrack;
using namespace rattanrack::claims;
using namespace rattanrack::policy;
using namespace rattanrack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t shardCount = 4;

Claim claimOf(const std::string& key, const std::string& attempt)
{
    Claim claim;
    claim.key = IdempotencyKey { key };
    claim.attempt = AttemptId { attempt };
    claim.owner = NodeId { "owner" };
    return claim;
}

Claim completed(Claim claim, const std::string& output)
{
    claim.state = ClaimState::Completed;
    claim.output = output;
    return claim;
}

/// Two connected stores, and the duties that they take.
class ClaimStores : public testing::Test {
protected:
    ClaimStores()
    {
        m_first = make("n1", [this](const NodeId&, const peer::ClaimRequest& request) {
            m_second->onRequest(request, [this](const peer::ClaimReply& reply) { m_first->onReply(reply); });
        });
        m_second = make("n2", [this](const NodeId&, const peer::ClaimRequest& request) {
            m_first->onRequest(request, [this](const peer::ClaimReply& reply) { m_second->onReply(reply); });
        });
        takeAll(*m_first, *m_second, NodeId { "n1" });
    }
    ~ClaimStores() override
    {
        // After this, no store calls the other one while that is being destroyed.
        for (ClaimShardIndex shard = 0; shard < shardCount; ++shard) {
            m_first->setHome(shard, {});
            m_second->setHome(shard, {});
        }
        (void)submitOnce(*m_first, claimOf("end", "end"));
        (void)submitOnce(*m_second, claimOf("end", "end"));
    }

    std::unique_ptr<ClaimStore> make(const std::string& id, ClaimStore::SendRequest send)
    {
        ClaimStoreSettings settings;
        settings.home.self = NodeId { id };
        settings.home.shardCount = shardCount;
        settings.home.commitInterval = 1ms;
        settings.home.retryPause = 1ms;
        return ClaimStore::create(settings, m_table, m_clock, std::move(send)).value();
    }

    void takeAll(ClaimStore& holder, ClaimStore& other, const NodeId& id)
    {
        for (ClaimShardIndex shard = 0; shard < shardCount; ++shard) {
            const auto outcome = m_table.commit({ {}, { { "duty/" + claimDutyName(shard), id.value() } } });
            holder.takeShard(shard, outcome.version);
            other.setHome(shard, id);
        }
    }

    static ClaimAnswer submitOnce(ClaimStore& store, const Claim& claim)
    {
        std::promise<ClaimAnswer> answer;
        store.submit(claim, [&](const ClaimAnswer& given) { answer.set_value(given); });
        return answer.get_future().get();
    }

    /// Submits the claim again while the answer is Unavailable, as its owner does.
    static ClaimAnswer submitUntilAnswered(ClaimStore& store, const Claim& claim)
    {
        auto answer = submitOnce(store, claim);
        while (answer.verdict == ClaimVerdict::Unavailable)
            answer = submitOnce(store, claim);
        return answer;
    }

    SystemClock m_clock;
    FaultyTable m_table;
    std::unique_ptr<ClaimStore> m_first;
    std::unique_ptr<ClaimStore> m_second;
};

} // namespace

TEST_F(ClaimStores, HolderAndOtherNodesSeeTheSameRecords)
{
    EXPECT_EQ(submitUntilAnswered(*m_second, claimOf("k", "a1")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(submitUntilAnswered(*m_first, claimOf("k", "a2")).verdict, ClaimVerdict::Taken);
    EXPECT_EQ(submitUntilAnswered(*m_second, completed(claimOf("k", "a1"), "out")).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(submitUntilAnswered(*m_first, claimOf("k", "a2")).claim.output, "out");
    EXPECT_GE(m_second->counters().forwarded, 2U);
}

TEST_F(ClaimStores, CommitsWithLostResponsesAreResolved)
{
    (void)submitUntilAnswered(*m_first, claimOf("warm", "a0"));
    for (int request = 0; request < 20; ++request) {
        m_table.responsesToDrop = 1;
        EXPECT_EQ(
            submitUntilAnswered(*m_first, claimOf("k" + std::to_string(request), "a1")).verdict, ClaimVerdict::Granted);
    }
}

TEST_F(ClaimStores, TheNextHolderLoadsTheRecordsAndFencesThePreviousOne)
{
    EXPECT_EQ(submitUntilAnswered(*m_first, claimOf("k", "a1")).verdict, ClaimVerdict::Granted);
    for (ClaimShardIndex shard = 0; shard < shardCount; ++shard) {
        const auto outcome = m_table.commit({ {}, { { "duty/" + claimDutyName(shard), "n2" } } });
        m_second->takeShard(shard, outcome.version);
    }
    EXPECT_EQ(submitOnce(*m_first, claimOf("new", "b1")).verdict, ClaimVerdict::Unavailable);
    EXPECT_EQ(submitUntilAnswered(*m_second, claimOf("k", "a2")).claim.attempt, AttemptId { "a1" });
    EXPECT_EQ(submitUntilAnswered(*m_second, claimOf("new", "b2")).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimStores, LoadsAShardOnceTheTableIsAvailableAgain)
{
    m_table.isUnavailable = true;
    m_first->dropShard(0);
    m_first->takeShard(0, 1);
    EXPECT_EQ(submitOnce(*m_first, claimOf("end", "a0")).verdict, ClaimVerdict::Unavailable);
    m_table.isUnavailable = false;
    takeAll(*m_first, *m_second, NodeId { "n1" });
    EXPECT_EQ(submitUntilAnswered(*m_first, claimOf("k", "a1")).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimStores, ExactlyOneOfManyThreadsIsGrantedEachKey)
{
    constexpr int threadCount = 4;
    constexpr int keyCount = 50;
    std::vector<std::atomic<int>> grants(keyCount);
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            auto& store = thread % 2 == 0 ? *m_first : *m_second;
            for (int key = 0; key < keyCount; ++key) {
                const auto claim = claimOf("k" + std::to_string(key), "a" + std::to_string(thread));
                grants[key] += submitUntilAnswered(store, claim).verdict == ClaimVerdict::Granted ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    for (const auto& count : grants)
        EXPECT_EQ(count, 1);
}

TEST(ClaimStore, AnswersWaitingClaimsWhenDestroyed)
{
    FaultyTable table;
    SystemClock clock;
    ClaimStoreSettings settings;
    settings.home.self = NodeId { "n1" };
    std::atomic<int> answers { 0 };
    {
        const auto store = ClaimStore::create(settings, table, clock, [](const auto&, const auto&) {}).value();
        for (ClaimShardIndex shard = 0; shard < settings.home.shardCount; ++shard)
            store->setHome(shard, NodeId { "n2" });
        for (int request = 0; request < 100; ++request)
            store->submit(claimOf(std::to_string(request), "a"),
                [&](const ClaimAnswer& answer) { answers += answer.verdict == ClaimVerdict::Unavailable ? 1 : 0; });
    }
    EXPECT_EQ(answers, 100);
}

TEST(ClaimStore, RequiresANodeIdAndShards)
{
    FaultyTable table;
    SystemClock clock;
    EXPECT_FALSE(ClaimStore::create({}, table, clock, [](const auto&, const auto&) {}));
}
