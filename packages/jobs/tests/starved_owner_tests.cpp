#include "../model/starved_owner.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::model;
using namespace std::chrono_literals;

TEST(StarvedOwner, StartsThatItCannotSendAreNotDecidedOn)
{
    constexpr int seconds = 20;
    constexpr int perSecond = 50;
    for (const int demand : { 2, 3, 4 }) {
        StarvedOwner owner { { 64, perSecond } };
        owner.run(Duration { 1s } * seconds, demand * perSecond);
        EXPECT_GE(owner.begun(), 0.9 * perSecond * seconds) << "demand " << demand;
        EXPECT_LE(owner.expired(), 0.05 * owner.decided()) << "demand " << demand << ", decided " << owner.decided();
    }
}

TEST(StarvedOwner, FloodThatIsOverLeavesNoCollapse)
{
    constexpr int flood = 300;
    constexpr int later = 500;
    constexpr int perSecond = 50;
    StarvedOwner owner { { 64, perSecond } };
    owner.submit(flood);
    owner.run(20s, later / 20);
    EXPECT_GE(owner.begun(), 0.95 * (flood + later));
}

TEST(StarvedOwner, SilentWorkersDoNotHoldUpTheOthers)
{
    constexpr int perSecond = 50;
    StarvedOwner owner { { 64, perSecond, 10ms, { 3, 17, 40 } } };
    owner.run(20s, 2 * perSecond);
    EXPECT_GE(owner.begun(), 0.9 * perSecond * 20);
}

TEST(StarvedOwner, TurnOfASmallSiteIsStartedAtOnce)
{
    StarvedOwner owner { { 12, 2000, 10ms, {} } };
    owner.submit(200);
    owner.run(250ms);
    EXPECT_EQ(owner.begun(), 200);
    EXPECT_EQ(owner.expired(), 0);
}

TEST(StarvedOwner, OneWideStepOpensTheWindow)
{
    StarvedOwner owner { { 64, 2000, 100ms, {} } };
    const int atFirst = owner.startLimit();
    owner.submit(600);
    owner.run(1s);
    EXPECT_GT(owner.startLimit(), atFirst);
}

TEST(StarvedOwner, WorkersThatAllAnswerSlowlyCloseNoWindow)
{
    constexpr int perSecond = 200;
    constexpr int seconds = 20;
    for (const Duration answerTime : { 130ms, 150ms, 200ms }) {
        StarvedOwner owner { { 64, 2000, 10ms, {}, answerTime } };
        owner.run(Duration { 1s } * seconds, perSecond);
        EXPECT_GE(owner.begun(), 0.95 * perSecond * seconds) << "limit " << owner.startLimit();
        EXPECT_LE(owner.expired(), 0.05 * owner.decided()) << "decided " << owner.decided();
    }
}
