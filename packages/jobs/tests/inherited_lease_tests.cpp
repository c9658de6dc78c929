#include "../model/model_worker.h"
#include "rattanrack/jobs/lease_clock.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

/// What an earlier owner has granted is over when the next one takes it for over.
namespace {

constexpr Duration ownerTrust = 5s;
constexpr double slowestClock = 0.98;
const TaskRef task { JobId { "a" }, 0, 0, 0 };

} // namespace

TEST(ForeignLease, LeaseByTheClockOfAnEarlierLifeHasEndedWhenTheNextOwnerGoesOn)
{
    const TimePoint takenOverAt { 1000s };
    model::ModelWorker worker { { WorkerId { "w1" } }, slowestClock };
    worker.restart(2, takenOverAt - 1s);
    const TimePoint lastGrantAt = takenOverAt + ownerTrust;
    // The earlier owner does not know yet of the life that its look reaches.
    worker.poll({ worker.description().id, 1, 0, 500'000, 0us, 1 }, 500, lastGrantAt);
    const StartCommand start { worker.description().id, task, 1, {}, 8000, 1, {}, {}, 2 };
    ASSERT_EQ(worker.start(start, { {}, 0us, false, true }, false, lastGrantAt).status, CommandStatus::Done);
    worker.advance(takenOverAt + inheritedLease(ownerTrust, model::longestLease));
    EXPECT_FALSE(worker.isActive(task, 1));
}

TEST(ForeignLease, WaitIsNoLongerThanTheLongestLeaseNeeds)
{
    constexpr Duration slack = 700ms;
    const Duration held = Duration { static_cast<std::int64_t>(5'000'000 / slowestClock) };
    EXPECT_LE(inheritedLease(ownerTrust, model::longestLease), ownerTrust + held + slack);
}
