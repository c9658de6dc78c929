#include "rattanrack/node/relayed_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <utility>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;
using jobs::TransactionStatus;

namespace {

/// Returns the configured status and counts calls.
class Store final : public jobs::PartStore {
public:
    jobs::TransactionOutcome commit(const jobs::PartTransaction&) override
    {
        ++calls;
        return { status, 5, {}, {} };
    }
    Result<jobs::RowPage> read(const jobs::RowRange&) override { return page(); }
    Result<jobs::RowPage> changes(const std::string&, jobs::RowVersion, Duration) override { return page(); }

    TransactionStatus status { TransactionStatus::Done };
    ErrorCode readError { ErrorCode::Unavailable };
    int calls { 0 };

private:
    Result<jobs::RowPage> page()
    {
        ++calls;
        if (status == TransactionStatus::Done)
            return jobs::RowPage { {}, false, 5 };
        return fail(readError, "store.read", "stand-in");
    }
};

class RelayedStoreTest : public testing::Test {
protected:
    void connect()
    {
        store.setPeerCall([this](const peer::StoreRequest& request) -> std::optional<peer::StoreResult> {
            ++peerCalls;
            if (const auto* changes = std::get_if<jobs::ChangesQuery>(&request))
                longestPeerWait = std::max(longestPeerWait, changes->wait);
            if (whilePeerIsCalled)
                whilePeerIsCalled();
            if (isPeerUnresponsive || std::exchange(isNextPeerUnresponsive, false))
                return peer::StoreResult {};
            return peerStore.executeDirectly(request);
        });
    }
    TransactionStatus commit() { return store.commit({ "part", {}, {} }).status; }
    std::optional<jobs::RowPage> read()
    {
        return valueOrNothing([&] { return store.read({ "table", "part", {} }); });
    }

    ManualClock clock;
    Store direct;
    Store storeOfPeer;
    RelayedStore store { direct, clock };
    RelayedStore peerStore { storeOfPeer, clock };
    bool isPeerUnresponsive { false };
    bool isNextPeerUnresponsive { false };
    std::function<void()> whilePeerIsCalled;
    Duration longestPeerWait {};
    int peerCalls { 0 };
};

} // namespace

TEST_F(RelayedStoreTest, CallsNoPeerWhileTheStoreResponds)
{
    connect();
    for (const auto status : { TransactionStatus::Done, TransactionStatus::Conflict, TransactionStatus::Refused }) {
        direct.status = status;
        EXPECT_EQ(commit(), status);
    }
    EXPECT_EQ(peerCalls, 0);
    EXPECT_TRUE(store.isReachable());
}

TEST_F(RelayedStoreTest, CallsGoThroughAPeerWhileTheStoreRejectsOnlyThisNode)
{
    connect();
    direct.status = TransactionStatus::Unavailable;
    EXPECT_EQ(commit(), TransactionStatus::Done);
    EXPECT_TRUE(read());
    EXPECT_FALSE(store.isReachable());
    EXPECT_TRUE(peerStore.isReachable());
}

TEST_F(RelayedStoreTest, RetriesDirectCallsTwiceASecondAndReturnsToThem)
{
    connect();
    direct.status = TransactionStatus::Unknown;
    for (int step = 0; step < 100; ++step) { // Two seconds.
        EXPECT_EQ(commit(), TransactionStatus::Done);
        clock.advance(20ms);
    }
    EXPECT_LE(direct.calls, 5);
    EXPECT_GE(direct.calls, 4);
    direct.status = TransactionStatus::Done;
    clock.advance(500ms);
    ASSERT_EQ(commit(), TransactionStatus::Done);
    const int peerCallsBefore = peerCalls;
    EXPECT_EQ(commit(), TransactionStatus::Done);
    EXPECT_EQ(peerCalls, peerCallsBefore);
    EXPECT_TRUE(store.isReachable());
}

TEST_F(RelayedStoreTest, WithoutAPeerTheDirectOutcomeIsReturned)
{
    direct.status = TransactionStatus::Unavailable;
    EXPECT_EQ(commit(), TransactionStatus::Unavailable);
    EXPECT_EQ(commit(), TransactionStatus::Unavailable);
    EXPECT_EQ(direct.calls, 2); // No call fails without having been tried.
}

TEST_F(RelayedStoreTest, OutcomeIsUnknownIfTheTransactionMayHaveTakenEffectOverEitherPath)
{
    connect();
    direct.status = TransactionStatus::Unknown;
    storeOfPeer.status = TransactionStatus::Unavailable;
    EXPECT_EQ(commit(), TransactionStatus::Unknown);

    clock.advance(1s);
    direct.status = TransactionStatus::Unavailable;
    storeOfPeer.status = TransactionStatus::Unknown;
    EXPECT_EQ(commit(), TransactionStatus::Unknown);

    clock.advance(1s);
    isPeerUnresponsive = true;
    EXPECT_EQ(commit(), TransactionStatus::Unknown);

    clock.advance(1s);
    isPeerUnresponsive = false;
    storeOfPeer.status = TransactionStatus::Unavailable;
    EXPECT_EQ(commit(), TransactionStatus::Unavailable);
}

/// A peer that has died while it was asked keeps nobody from a store that responds again.
TEST_F(RelayedStoreTest, ReadWithoutAnAnswerOfThePeerIsSentDirectlyOnceTheStoreResponds)
{
    connect();
    int returns = 0;
    store.setOnReachable([&] { ++returns; });
    direct.status = TransactionStatus::Unavailable;
    EXPECT_TRUE(read());
    isPeerUnresponsive = true;
    whilePeerIsCalled = [&] { // Another call of this node.
        direct.status = TransactionStatus::Done;
        clock.advance(1s);
        whilePeerIsCalled = {};
        EXPECT_EQ(commit(), TransactionStatus::Done);
    };
    EXPECT_TRUE(read());
    EXPECT_EQ(returns, 1);
    EXPECT_TRUE(store.isReachable());
}

TEST_F(RelayedStoreTest, ReadWithoutAnAnswerOfThePeerIsSentThroughAnother)
{
    connect();
    direct.status = TransactionStatus::Unavailable;
    isNextPeerUnresponsive = true;
    EXPECT_TRUE(read());
    EXPECT_EQ(peerCalls, 2);
}

/// It may have taken effect.
TEST_F(RelayedStoreTest, TransactionWithoutAnAnswerOfThePeerIsNotSentAgain)
{
    connect();
    direct.status = TransactionStatus::Unavailable;
    isNextPeerUnresponsive = true;
    EXPECT_EQ(commit(), TransactionStatus::Unknown);
    EXPECT_EQ(peerCalls, 1);
}

TEST_F(RelayedStoreTest, PeersWaitForChangesForAShortTimeOnly)
{
    connect();
    direct.status = TransactionStatus::Unavailable;
    EXPECT_TRUE(valueOrNothing([&] { return store.changes("table", 3, 30s); }));
    EXPECT_EQ(longestPeerWait, 500ms);
}

TEST_F(RelayedStoreTest, MissingHistoryIsADefiniteOutcome)
{
    connect();
    direct.status = TransactionStatus::Unavailable;
    direct.readError = ErrorCode::NotFound;
    const auto code = handle(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(store.changes("table", 3, 1s));
            return ErrorCode::Internal;
        },
        [](const Error& error) { return error.code; });
    EXPECT_EQ(code, ErrorCode::NotFound);
    EXPECT_EQ(peerCalls, 0);
}
