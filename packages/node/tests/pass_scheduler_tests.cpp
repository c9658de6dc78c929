#include "rattanrack/node/pass_scheduler.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 10s };

} // namespace

TEST(PassScheduler, EventDoesNotWaitForTheScheduledIdlePass)
{
    PassScheduler scheduler;
    ASSERT_EQ(scheduler.request(start + 250ms), start + 250ms);
    EXPECT_EQ(scheduler.request(start + 6ms), start + 6ms);
    EXPECT_TRUE(scheduler.tryBegin(start + 6ms));
    EXPECT_FALSE(scheduler.tryBegin(start + 250ms));
}

TEST(PassScheduler, RequestsBeforeAPassAreCombined)
{
    PassScheduler scheduler;
    ASSERT_EQ(scheduler.request(start + 6ms), start + 6ms);
    EXPECT_FALSE(scheduler.request(start + 8ms).has_value());
    EXPECT_FALSE(scheduler.request(start + 6ms).has_value());
    EXPECT_TRUE(scheduler.tryBegin(start + 6ms));
    EXPECT_EQ(scheduler.request(start + 14ms), start + 14ms);
}

TEST(PassScheduler, OwnerWithoutProcessorTimeRestsAfterALongPass)
{
    PassScheduler scheduler;
    scheduler.recordPass(start, start + 3ms);
    EXPECT_EQ(scheduler.request(start + 9ms), start + 33ms);
    EXPECT_TRUE(scheduler.tryBegin(start + 33ms));
    scheduler.recordPass(start + 33ms, start + 533ms);
    EXPECT_EQ(scheduler.request(start + 539ms), start + 633ms);
}

TEST(PassScheduler, ShortPassesDelayNoEvent)
{
    PassScheduler scheduler;
    scheduler.recordPass(start, start + 500us);
    EXPECT_EQ(scheduler.request(start + 6ms), start + 6ms);
}
