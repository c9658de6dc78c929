#include "rattanrack/node/stall_detector.h"

#include "rattanrack/jobs/ownership.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickPeriod = 200ms;

} // namespace

TEST(StallDetector, RunningProcessIsNeverReportedAsStalled)
{
    StallDetector stallDetector;
    TimePoint now { 1000s };
    for (int ticks = 0; ticks < 50; ++ticks) {
        now += tickPeriod * (1 + ticks % 3); // Two in three are late.
        stallDetector.tick(now);
        EXPECT_FALSE(stallDetector.isViewStale(now));
    }
}

TEST(StallDetector, ResumedNodeTakesNoCellsOfLiveOwners)
{
    const PoolId cell { "a" };
    TimePoint now { 1000s };
    StallDetector stallDetector;
    jobs::Ownership ownership { NodeId { "n1" }, "10.0.0.1:1", now };
    ownership.setCells({ cell });
    std::uint64_t sequence = 0;
    const auto announceOwner = [&] {
        jobs::NodeAnnouncement announcement { NodeId { "n2" }, "10.0.0.2:1", ++sequence };
        announcement.cells.push_back({ cell, 1 });
        ownership.onAnnouncement(announcement, now);
    };
    const auto tick = [&](Duration pause) {
        now += pause;
        stallDetector.tick(now);
        return stallDetector.isViewStale(now) ? std::vector<PoolId> {} : ownership.cellsToTake(now);
    };
    for (int ticks = 0; ticks < 10; ++ticks) {
        announceOwner();
        EXPECT_TRUE(tick(tickPeriod).empty());
    }
    EXPECT_TRUE(tick(3500ms).empty()); // Paused; no announcement has been read since.
    for (int ticks = 0; ticks < 10; ++ticks) {
        announceOwner();
        EXPECT_TRUE(tick(tickPeriod).empty());
    }
    for (int ticks = 0; ticks < 6; ++ticks)
        tick(tickPeriod);
    EXPECT_EQ(tick(tickPeriod), std::vector { cell }); // The owner is gone.
}
