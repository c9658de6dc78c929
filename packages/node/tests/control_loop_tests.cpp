#include "rattanrack/node/control_loop.h"

#include <gtest/gtest.h>

#include <future>

using namespace rattanrack;
using namespace rattanrack::node;
using namespace std::chrono_literals;

TEST(ControlLoop, DelayOfWorkQueuedBehindSlowWorkIsMeasured)
{
    ManualClock clock;
    clock.setNow(TimePoint { 10s });
    ControlLoop loop { clock };
    std::promise<void> isSlowWorkDone;
    loop.run([&] {
        loop.at(Deadline { clock.now() + 10ms }, [] {});
        loop.post([&] { clock.advance(30ms); });
        loop.post([&] {
            clock.advance(70ms);
            isSlowWorkDone.set_value();
        });
    });
    isSlowWorkDone.get_future().wait();
    DelaySummary delays;
    loop.run([] {}); // The timer is due by now.
    loop.run([&] { delays = loop.takeDelays(); });
    EXPECT_GE(delays.count(), 4U);
    EXPECT_EQ(delays.worst(), 90ms); // Of the timer, due at 10 ms and run at 100 ms.
    loop.run([&] { delays = loop.takeDelays(); });
    EXPECT_EQ(delays.count(), 1U);
    EXPECT_EQ(delays.worst(), 0ms);
}
