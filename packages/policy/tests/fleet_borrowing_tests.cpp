#include "rattanrack/policy/fleet_borrowing.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

const PoolId busy { "busy" };
const PoolId spare { "spare" };

/// Transfers decided over `duration` with a need that does not change, one decision a second.
std::size_t transfersWithin(
    BorrowingPlanner& planner, const std::vector<PoolLoad>& loads, Duration duration, TimePoint& now)
{
    std::size_t count = 0;
    for (const TimePoint end = now + duration; now < end; now += 1s)
        count += planner.decide(loads, now).size();
    return count;
}

std::vector<PoolLoad> loads(double needed, std::uint32_t mayTake = 1)
{
    return { { busy, needed, 4, 0, 1, 0, mayTake }, { spare, 0, 4, 0, 0, 4, 0 } };
}

} // namespace

TEST(BorrowingPlanner, LendsForASustainedNeed)
{
    BorrowingPlanner planner;
    TimePoint now { 1h };
    transfersWithin(planner, loads(3), 60s, now);
    transfersWithin(planner, loads(5), 35s, now);
    EXPECT_EQ(planner.decide(loads(5), now), (std::vector { PoolTransfer { spare, busy } }));
}

TEST(BorrowingPlanner, LeavesAShortSurgeToTheQueues)
{
    BorrowingPlanner planner;
    TimePoint now { 1h };
    transfersWithin(planner, loads(3), 60s, now);
    EXPECT_EQ(transfersWithin(planner, loads(20), 20s, now), 0);
    EXPECT_EQ(transfersWithin(planner, loads(3), 60s, now), 0);
}

TEST(BorrowingPlanner, MovesNothingForLessThanItCosts)
{
    BorrowingPlanner planner;
    TimePoint now { 1h };
    EXPECT_EQ(transfersWithin(planner, loads(4.05), 120s, now), 0);
}

TEST(BorrowingPlanner, StaysWithinLimitsAndReserves)
{
    BorrowingPlanner planner;
    TimePoint now { 1h };
    EXPECT_EQ(transfersWithin(planner, loads(9, 0), 120s, now), 0);
    auto reserved = loads(9);
    reserved[1].reserve = 4;
    EXPECT_EQ(transfersWithin(planner, reserved, 120s, now), 0);
}

TEST(BorrowingPlanner, GivesNothingThatWasNeededOfLate)
{
    BorrowingPlanner planner;
    TimePoint now { 1h };
    auto both = loads(5);
    both[1].needed = 4;
    transfersWithin(planner, both, 120s, now);
    both[1].needed = 0;
    EXPECT_EQ(transfersWithin(planner, both, 5min, now), 0);
    EXPECT_GT(transfersWithin(planner, both, 10min, now), 0);
}
