#include "rattanrack/node/pass_scheduler.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 10s };

} // namespace

TEST(PassScheduler, EventDoesNotWaitForThePassOfAnIdleCell)
{
    PassScheduler plan;
    ASSERT_EQ(plan.request(start + 250ms), start + 250ms);
    EXPECT_EQ(plan.request(start + 6ms), start + 6ms);
    EXPECT_TRUE(plan.tryBegin(start + 6ms));
    EXPECT_FALSE(plan.tryBegin(start + 250ms));
}

TEST(PassScheduler, EventsUntilThePassAreDecidedOnTogether)
{
    PassScheduler plan;
    ASSERT_EQ(plan.request(start + 6ms), start + 6ms);
    EXPECT_FALSE(plan.request(start + 8ms).has_value());
    EXPECT_FALSE(plan.request(start + 6ms).has_value());
    EXPECT_TRUE(plan.tryBegin(start + 6ms));
    EXPECT_EQ(plan.request(start + 14ms), start + 14ms);
}

TEST(PassScheduler, StarvedOwnerRestsAfterALongPass)
{
    PassScheduler plan;
    plan.recordPass(start, start + 3ms);
    EXPECT_EQ(plan.request(start + 9ms), start + 33ms);
    EXPECT_TRUE(plan.tryBegin(start + 33ms));
    plan.recordPass(start + 33ms, start + 533ms);
    EXPECT_EQ(plan.request(start + 539ms), start + 633ms);
}

TEST(PassScheduler, ShortPassesDelayNoEvent)
{
    PassScheduler plan;
    plan.recordPass(start, start + 500us);
    EXPECT_EQ(plan.request(start + 6ms), start + 6ms);
}
