#include "rattanrack/node/thread_shares.h"

#include <gtest/gtest.h>

#include <vector>

using namespace rattanrack;
using node::ThreadShares;

TEST(ThreadShares, OverloadInOneKindLeavesThreadsToOthers)
{
    ThreadShares shares { 40 };
    shares.setKinds(4);
    std::vector<ThreadShares::Reservation> overload;
    while (true) {
        ThreadShares::Reservation reservation = shares.tryReserve(WorkKind { "overload" });
        if (!reservation)
            break;
        overload.push_back(std::move(reservation));
    }
    EXPECT_EQ(overload.size(), 30U);
    std::vector<ThreadShares::Reservation> other;
    for (int i = 0; i < 8; ++i) {
        other.push_back(shares.tryReserve(WorkKind { "other" }));
        EXPECT_TRUE(other.back());
    }
}

TEST(ThreadShares, ReleasedThreadsCanBeReservedAgain)
{
    ThreadShares shares { 4 };
    {
        const auto reservation = shares.tryReserve(WorkKind { "a" });
        EXPECT_TRUE(reservation);
    }
    std::vector<ThreadShares::Reservation> reservations;
    reservations.reserve(3);
    for (int i = 0; i < 3; ++i)
        reservations.push_back(shares.tryReserve(WorkKind { "a" }));
    EXPECT_TRUE(reservations.back());
    EXPECT_FALSE(shares.tryReserve(WorkKind { "a" }));
}
