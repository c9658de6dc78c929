#include "rattanrack/node/standstill.h"

#include "rattanrack/jobs/ownership.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickPeriod = 200ms;

} // namespace

TEST(Standstill, NodeThatRunsIsNeverTakenForOneThatStood)
{
    Standstill standstill;
    TimePoint now { 1000s };
    for (int ticks = 0; ticks < 50; ++ticks) {
        now += tickPeriod * (1 + ticks % 3); // Two in three are late.
        standstill.tick(now);
        EXPECT_FALSE(standstill.isViewOld(now));
    }
}

TEST(Standstill, NodeThatWakesUpTakesNoCellsOfOthers)
{
    const PoolId cell { "a" };
    TimePoint now { 1000s };
    Standstill standstill;
    jobs::Ownership ownership { NodeId { "n1" }, "10.0.0.1:1", now };
    ownership.setCells({ cell });
    std::uint64_t sequence = 0;
    const auto hearOwner = [&] {
        jobs::NodeAnnouncement news { NodeId { "n2" }, "10.0.0.2:1", ++sequence };
        news.cells.push_back({ cell, 1 });
        ownership.onNews(news, now);
    };
    const auto tick = [&](Duration pause) {
        now += pause;
        standstill.tick(now);
        return standstill.isViewOld(now) ? std::vector<PoolId> {} : ownership.toTake(now);
    };
    for (int ticks = 0; ticks < 10; ++ticks) {
        hearOwner();
        EXPECT_TRUE(tick(tickPeriod).empty());
    }
    EXPECT_TRUE(tick(3500ms).empty()); // Paused; nothing has been read since.
    for (int ticks = 0; ticks < 10; ++ticks) {
        hearOwner();
        EXPECT_TRUE(tick(tickPeriod).empty());
    }
    for (int ticks = 0; ticks < 6; ++ticks)
        tick(tickPeriod);
    EXPECT_EQ(tick(tickPeriod), std::vector { cell }); // The owner is gone.
}
