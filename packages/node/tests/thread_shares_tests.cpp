#include "rattanrack/node/thread_shares.h"

#include <gtest/gtest.h>

#include <vector>

using namespace rattanrack;
using node::ThreadShares;

TEST(ThreadShares, FloodInOneKindLeavesThreadsToOthers)
{
    ThreadShares shares { 40 };
    shares.setKinds(4);
    std::vector<ThreadShares::Reservation> flood;
    while (true) {
        ThreadShares::Reservation hold = shares.tryReserve(WorkKind { "flood" });
        if (!hold)
            break;
        flood.push_back(std::move(hold));
    }
    EXPECT_EQ(flood.size(), 30U);
    std::vector<ThreadShares::Reservation> other;
    for (int i = 0; i < 8; ++i) {
        other.push_back(shares.tryReserve(WorkKind { "other" }));
        EXPECT_TRUE(other.back());
    }
}

TEST(ThreadShares, ReleasedThreadsCanBeTakenAgain)
{
    ThreadShares shares { 4 };
    {
        const auto hold = shares.tryReserve(WorkKind { "a" });
        EXPECT_TRUE(hold);
    }
    std::vector<ThreadShares::Reservation> holds;
    holds.reserve(3);
    for (int i = 0; i < 3; ++i)
        holds.push_back(shares.tryReserve(WorkKind { "a" }));
    EXPECT_TRUE(holds.back());
    EXPECT_FALSE(shares.tryReserve(WorkKind { "a" }));
}
