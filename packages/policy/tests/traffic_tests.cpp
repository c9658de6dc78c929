#include "rattanrack/policy/traffic_core.h"

#include "rattanrack/base/invariant.h"

#include <gtest/gtest.h>

#include <string>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

const PoolId office { "office" };
const WorkKind plan { "plan" };

ViewChanged view(int workers, std::int64_t slots, const PoolPolicy& pool = { .pool = office })
{
    ViewChanged event;
    for (int index = 0; index < workers; ++index) {
        event.workers.push_back({ .id = VmId { "w" + std::to_string(index) },
            .pool = office,
            .rack = RackId { "r" + std::to_string(index % 3) },
            .capacity = { Millicores { 16000 }, Mebibytes { 64000 }, Accelerators { 0 } },
            .slots = Slots { slots } });
    }
    event.kinds.push_back({ .kind = plan, .pool = office });
    event.pools.push_back(pool);
    return event;
}

RequestSpec spec(const std::string& id, Duration timeLeft = 10s)
{
    return { .id = RequestId { id },
        .pool = office,
        .kind = plan,
        .deadline = Deadline { TimePoint { timeLeft } },
        .declaredSize = { Millicores { 1000 }, Mebibytes { 1000 }, Accelerators { 0 } },
        .declaredRunTime = 400ms };
}

template <typename Decision> const Decision& only(const TrafficDecisions& decisions)
{
    EXPECT_EQ(decisions.size(), 1U);
    return std::get<Decision>(decisions.at(0));
}

class TrafficTest : public testing::Test {
protected:
    void SetUp() override { setInvariantsFatal(true); }
    TrafficDecisions handle(const TrafficEvent& event, Duration at = 0s)
    {
        return core->handle(event, TimePoint { at });
    }

    std::unique_ptr<TrafficPolicy> core = createTrafficCore(1);
};

TEST_F(TrafficTest, dispatchesWhileSlotsAreFreeAndThenQueues)
{
    handle(view(1, 1));
    EXPECT_EQ(only<Dispatch>(handle(Submit { spec("a") })).worker, VmId { "w0" });
    EXPECT_TRUE(handle(Submit { spec("b") }).empty());
    auto decisions = handle(AttemptEnded { RequestId { "a" }, VmId { "w0" }, AttemptEnd::Completed }, 1s);
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(std::get<ConcludeRequest>(decisions[0]).request, RequestId { "a" });
    EXPECT_EQ(std::get<Dispatch>(decisions[1]).request, RequestId { "b" });
}

TEST_F(TrafficTest, refusesWhatCanNeverRunAtOnce)
{
    handle(view(1, 1));
    auto large = spec("large");
    large.declaredSize.accelerators = Accelerators { 1 };
    EXPECT_EQ(only<RejectRequest>(handle(Submit { large })).reason, NotRunReason::NeverFits);
    auto unknown = spec("unknown");
    unknown.kind = WorkKind { "other" };
    EXPECT_EQ(only<RejectRequest>(handle(Submit { unknown })).reason, NotRunReason::UnknownKind);
}

TEST_F(TrafficTest, answersQueuedRequestsAtTheirDeadline)
{
    handle(view(1, 1));
    handle(Submit { spec("a") });
    handle(Submit { spec("b", 2s) });
    EXPECT_EQ(core->nextWake(), Deadline { TimePoint { 2s } });
    EXPECT_EQ(only<RejectRequest>(handle(Tick {}, 2s)).request, RequestId { "b" });
}

TEST_F(TrafficTest, retriesARefusedRequestOnAnotherWorker)
{
    handle(view(2, 1));
    const auto first = only<Dispatch>(handle(Submit { spec("a") }));
    const auto second = only<Dispatch>(handle(AttemptEnded { RequestId { "a" }, first.worker, AttemptEnd::Refused }));
    EXPECT_NE(second.worker, first.worker);
    EXPECT_EQ(second.attemptNumber, 2U);
}

TEST_F(TrafficTest, concludesALostRequestThatIsNotRepeatable)
{
    handle(view(2, 1));
    auto order = spec("order");
    order.isRepeatable = false;
    const auto first = only<Dispatch>(handle(Submit { order }));
    const auto ended = handle(AttemptEnded { RequestId { "order" }, first.worker, AttemptEnd::Lost });
    EXPECT_EQ(only<ConcludeRequest>(ended).end, AttemptEnd::Lost);
}

TEST_F(TrafficTest, cancelsQueuedAndRunningRequests)
{
    handle(view(1, 1));
    handle(Submit { spec("a") });
    handle(Submit { spec("b") });
    EXPECT_EQ(only<RejectRequest>(handle(Cancel { RequestId { "b" } })).reason, NotRunReason::Cancelled);
    EXPECT_EQ(only<StopAttempt>(handle(Cancel { RequestId { "a" } })).request, RequestId { "a" });
    EXPECT_TRUE(handle(Cancel { RequestId { "a" } }).empty());
    const auto ended = handle(AttemptEnded { RequestId { "a" }, VmId { "w0" }, AttemptEnd::Stopped });
    EXPECT_EQ(only<ConcludeRequest>(ended).end, AttemptEnd::Stopped);
}

} // namespace
