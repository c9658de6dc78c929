#include "../model/starved_owner.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

TEST(StarvedOwner, StartsThatCannotBeSentAreNotDecidedOn)
{
    constexpr int seconds = 20;
    constexpr int perSecond = 50;
    for (const int demand : { 2, 3, 4 }) {
        StarvedOwner owner { { 64, perSecond } };
        owner.run(Duration { 1s } * seconds, demand * perSecond);
        EXPECT_GE(owner.startedRuns(), 0.9 * perSecond * seconds) << "demand " << demand;
        EXPECT_LE(owner.expiredStarts(), 0.05 * owner.decidedStarts())
            << "demand " << demand << ", decided " << owner.decidedStarts();
    }
}

TEST(StarvedOwner, ThroughputDoesNotCollapseAfterAnOverload)
{
    constexpr int overload = 300;
    constexpr int later = 500;
    constexpr int perSecond = 50;
    StarvedOwner owner { { 64, perSecond } };
    owner.submit(overload);
    owner.run(20s, later / 20);
    EXPECT_GE(owner.startedRuns(), 0.95 * (overload + later));
}

TEST(StarvedOwner, UnresponsiveWorkersDoNotDelayOthers)
{
    constexpr int perSecond = 50;
    StarvedOwner owner { { 64, perSecond, 10ms, { 3, 17, 40 } } };
    owner.run(20s, 2 * perSecond);
    EXPECT_GE(owner.startedRuns(), 0.9 * perSecond * 20);
}

TEST(StarvedOwner, BurstOnASmallSiteIsStartedAtOnce)
{
    StarvedOwner owner { { 12, 2000, 10ms, {} } };
    owner.submit(200);
    owner.run(250ms);
    EXPECT_EQ(owner.startedRuns(), 200);
    EXPECT_EQ(owner.expiredStarts(), 0);
}

TEST(StarvedOwner, OneWideStepWidensTheStartWindow)
{
    StarvedOwner owner { { 64, 2000, 100ms, {} } };
    const int initialLimit = owner.startLimit();
    owner.submit(600);
    owner.run(1s);
    EXPECT_GT(owner.startLimit(), initialLimit);
}

TEST(StarvedOwner, UniformlySlowWorkersDoNotShrinkTheStartWindow)
{
    constexpr int perSecond = 200;
    constexpr int seconds = 20;
    for (const Duration responseTime : { 130ms, 150ms, 200ms }) {
        StarvedOwner owner { { 64, 2000, 10ms, {}, responseTime } };
        owner.run(Duration { 1s } * seconds, perSecond);
        EXPECT_GE(owner.startedRuns(), 0.95 * perSecond * seconds) << "limit " << owner.startLimit();
        EXPECT_LE(owner.expiredStarts(), 0.05 * owner.decidedStarts()) << "decided " << owner.decidedStarts();
    }
}
