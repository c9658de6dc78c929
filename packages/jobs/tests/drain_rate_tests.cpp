#include "../src/drain_rate.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr double expected = 1000; // Work a second.
constexpr Duration period = 20ms;

/// Work waits for `time`, and `perSecond` of it ends.
void play(DrainRate& rate, TimePoint& now, Duration time, std::int64_t perSecond)
{
    for (Duration passed {}; passed < time; passed += period) {
        now += period;
        rate.record(perSecond * period.count() / 1'000'000);
        rate.advance(now, true, expected);
    }
}

} // namespace

TEST(DrainRate, IsUnknownWhileNothingWaits)
{
    DrainRate rate;
    rate.advance(TimePoint { 100s }, false, expected);
    EXPECT_FALSE(rate.workPerSecond().has_value());
}

TEST(DrainRate, IsZeroWhereNoWorkerIsListed)
{
    DrainRate rate;
    rate.advance(TimePoint { 100s }, true, 0);
    EXPECT_EQ(rate.workPerSecond(), 0);
}

TEST(DrainRate, BeginsWithWhatIsExpected)
{
    DrainRate rate;
    rate.advance(TimePoint { 100s }, true, expected);
    EXPECT_DOUBLE_EQ(rate.workPerSecond().value(), expected);
}

TEST(DrainRate, FollowsWhatEnds)
{
    DrainRate rate;
    TimePoint now { 100s };
    play(rate, now, 10s, 5000);
    EXPECT_NEAR(rate.workPerSecond().value(), 5000, 500);
    play(rate, now, 10s, 0); // All workers are down.
    EXPECT_LT(rate.workPerSecond().value(), 500);
}

TEST(DrainRate, DropsWhatItMeasuredBeforeAPause)
{
    DrainRate rate;
    TimePoint now { 100s };
    play(rate, now, 10s, 0);
    now += 5s;
    rate.advance(now, true, expected);
    EXPECT_DOUBLE_EQ(rate.workPerSecond().value(), expected);
}
