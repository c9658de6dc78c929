#include "../model/model_worker.h"
#include "rattanrack/jobs/lease_clock.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

/// Leases of a previous owner have ended when the next owner assumes that they have.
namespace {

constexpr Duration ownershipTimeout = 5s;
constexpr double minClockRate = 0.98;
const TaskRef task { JobId { "a" }, 0, 0, 0 };

} // namespace

TEST(InheritedLease, LeaseByAnEarlierIncarnationsClockEndsWithinTheWait)
{
    const TimePoint takenOverAt { 1000s };
    model::ModelWorker worker { { WorkerId { "w1" } }, minClockRate };
    worker.restart(2, takenOverAt - 1s);
    const TimePoint lastGrantAt = takenOverAt + ownershipTimeout;
    // The previous owner does not yet know the incarnation that its poll reaches.
    worker.poll({ worker.description().id, 1, 0, 500'000, 0us, 1 }, 500, lastGrantAt);
    const StartCommand start { worker.description().id, task, 1, {}, 8000, 1, {}, {}, 2 };
    ASSERT_EQ(worker.start(start, { {}, 0us, false, true }, false, lastGrantAt).status, CommandStatus::Done);
    worker.advance(takenOverAt + inheritedLease(ownershipTimeout, model::defaultLongestLease));
    EXPECT_FALSE(worker.isActive(task, 1));
}

TEST(InheritedLease, WaitIsNoLongerThanTheLongestLeaseNeeds)
{
    constexpr Duration slack = 700ms;
    const Duration leaseTime = Duration { static_cast<std::int64_t>(5'000'000 / minClockRate) };
    EXPECT_LE(inheritedLease(ownershipTimeout, model::defaultLongestLease), ownershipTimeout + leaseTime + slack);
}
