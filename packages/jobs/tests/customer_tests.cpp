#include "../src/customer_accounts.h"
#include "cell_harness.h"
#include "rattanrack/jobs/customer_keys.h"
#include "rattanrack/jobs/job_codec.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr std::uint64_t seed = 7;
constexpr std::size_t longKeySize = 65536;
constexpr std::size_t manyKeys = 10'000;

ResourceSize millicores(std::int64_t count) { return { Millicores { count }, {}, {} }; }

Customer customer(const char* name, double weight, ResourceSize quota = {})
{
    return { CustomerId { name }, weight, quota };
}

/// Two workers of one core each, and the customers of the test.
class CustomersOfACell : public testing::Test {
protected:
    void configure(const std::vector<Customer>& customers)
    {
        harness.cell().configure({ { QueueId { "q" }, PoolId { "p" }, 0, 3, 1.6, 600ms } }, customers);
    }

    void submit(const std::string& id, const char* customer, int tasks, std::int64_t cores)
    {
        Job job { JobId { id }, QueueId { "q" }, 1, { "text", { {} }, {} } };
        job.spec.steps[0].count = tasks;
        job.spec.steps[0].size = { Millicores { cores }, Mebibytes { 10 }, {} };
        job.spec.steps[0].declaredRunTime = 500ms;
        job.customer = CustomerId { customer };
        job.queueAddress = QueueAddress { "q" };
        harness.cell().submit(job, 1, harness.now());
        harness.storeChanges();
    }

    std::vector<std::string> startedJobs()
    {
        std::vector<std::string> ids;
        for (const StartCommand& start : harness.takeCommands<StartCommand>())
            ids.push_back(start.task.job.value());
        return ids;
    }

    void setLimit(const char* customer, std::int64_t cores, bool isWholeQuota = false)
    {
        ResourceSize size = unlimitedSize;
        size.processors = Millicores { cores };
        harness.cell().setCustomerLimit(CustomerId { customer }, { size, isWholeQuota });
    }

    CellHarness harness;
};

} // namespace

TEST(CustomerKeys, KeyIsFoundOnlyAsAWhole)
{
    const CustomerKeys keys { { { "first", CustomerId { "a" } }, { "second", CustomerId { "a" } },
                                  { std::string("\0\xff", 2), CustomerId { "b" } } },
        seed };
    ASSERT_TRUE(keys.find("first"));
    EXPECT_EQ(keys.find("second")->value(), "a");
    EXPECT_EQ(keys.find(std::string("\0\xff", 2))->value(), "b");
    for (const std::string& wrong : { std::string {}, std::string("firs"), std::string("first "), std::string("\0", 1),
             std::string(longKeySize, 'x') })
        EXPECT_FALSE(keys.find(wrong));
}

TEST(CustomerKeys, TenThousandKeysAreFound)
{
    std::vector<CustomerKey> all;
    all.reserve(manyKeys);
    for (std::size_t number = 0; number < manyKeys; ++number)
        all.push_back({ "key-" + std::to_string(number), CustomerId { std::to_string(number % 32) } });
    const CustomerKeys keys { all, seed };
    for (const CustomerKey& each : all)
        ASSERT_EQ(*keys.find(each.key), each.customer);
    EXPECT_FALSE(keys.find("key-10000"));
}

TEST(JobCodec, CustomerIsStoredWithTheJob)
{
    Job job { JobId { "a" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    const std::string withoutCustomer = encode(job);
    job.customer = CustomerId { "c" };
    EXPECT_EQ(valueOrNothing([&] { return decodeJob(encode(job)); })->customer, job.customer);
    EXPECT_TRUE(valueOrNothing([&] { return decodeJob(withoutCustomer); })->customer.isEmpty());
    EXPECT_EQ(withoutCustomer.find("customer"), std::string::npos);
}

TEST(SubmissionAllowance, JobsBeyondTheWeightAreToldFromThoseWithin)
{
    SubmissionAllowance allowance;
    const TimePoint start { 100s };
    int within = 0;
    for (int count = 0; count < 100; ++count)
        within += allowance.take(2, start + 100ms * count) ? 1 : 0;
    EXPECT_NEAR(within, 30, 1); // 10 at once, and 2 a second for 10 s.
    EXPECT_TRUE(allowance.take(2, start + 60s));
}

TEST(TasksWithinLimit, LargestPartDecides)
{
    const ResourceSize quota { Millicores { 1000 }, Mebibytes { 100 }, {} };
    const CustomerLimit limit { quota, true };
    EXPECT_EQ(tasksWithinLimit(limit, {}, { Millicores { 100 }, Mebibytes { 40 }, {} }, quota, 9), 2);
    EXPECT_EQ(tasksWithinLimit(limit, millicores(950), millicores(100), quota, 9), 0);
    EXPECT_EQ(tasksWithinLimit(limit, millicores(2000), millicores(100), quota, 9), 0);
}

TEST(TasksWithinLimit, TaskLargerThanTheQuotaStartsAloneWhereTheCellHasAllOfIt)
{
    const ResourceSize quota = millicores(1000);
    EXPECT_EQ(tasksWithinLimit({ quota, true }, {}, millicores(1500), quota, 3), 1);
    EXPECT_EQ(tasksWithinLimit({ quota, false }, {}, millicores(1500), quota, 3), 0);
    EXPECT_EQ(tasksWithinLimit({ quota, true }, millicores(1), millicores(1500), quota, 3), 0);
}

TEST_F(CustomersOfACell, NothingStartsBeyondTheLimit)
{
    configure({ customer("a", 1, millicores(1000)) });
    submit("job", "a", 8, 200);
    harness.advance(10ms);
    EXPECT_TRUE(startedJobs().empty()); // No limit has been set yet.
    setLimit("a", 600);
    harness.advance(10ms);
    EXPECT_EQ(startedJobs().size(), 3U);
    const auto uses = harness.cell().customerUse();
    ASSERT_EQ(uses.size(), 1U);
    EXPECT_EQ(uses[0].used.processors, Millicores { 600 });
    EXPECT_EQ(uses[0].waiting.processors, Millicores { 1000 });
}

TEST_F(CustomersOfACell, RunBeingStoppedAndStartWithoutResponseCountTowardsTheQuota)
{
    configure({ customer("a", 1, millicores(1000)) });
    setLimit("a", 400);
    submit("job", "a", 2, 200);
    harness.advance(10ms);
    const auto starts = harness.takeCommands<StartCommand>();
    ASSERT_EQ(starts.size(), 2U);
    harness.respond(starts[0], CommandStatus::Done);
    harness.respond(starts[1], CommandStatus::NoResponse);
    harness.cell().cancel(JobId { "job" }, 2, 1);
    submit("next", "a", 1, 200);
    harness.advance(10ms);
    EXPECT_TRUE(startedJobs().empty());
}

TEST_F(CustomersOfACell, GangThatDoesNotFitIntoTheLimitStartsNoMember)
{
    configure({ customer("a", 1, millicores(1000)) });
    setLimit("a", 500);
    Job job { JobId { "gang" }, QueueId { "q" }, 1, { "text", { {} }, {} } };
    job.spec.steps[0].count = 3;
    job.spec.steps[0].isGang = true;
    job.spec.steps[0].size = millicores(200);
    job.customer = CustomerId { "a" };
    harness.cell().submit(job, 1, harness.now());
    harness.storeChanges();
    harness.advance(10ms);
    EXPECT_TRUE(startedJobs().empty());
    setLimit("a", 600);
    harness.advance(10ms);
    EXPECT_EQ(startedJobs().size(), 3U);
}

TEST_F(CustomersOfACell, CustomerThatLeavesTheConfigurationKeepsItsAcceptedWork)
{
    configure({ customer("a", 1, millicores(200)) });
    setLimit("a", 0);
    submit("job", "a", 2, 200);
    harness.advance(10ms);
    EXPECT_TRUE(startedJobs().empty());
    configure({});
    harness.advance(10ms);
    EXPECT_EQ(startedJobs().size(), 2U);
}

TEST_F(CustomersOfACell, JobBelongsToTheCustomerOfItsFirstCall)
{
    configure({ customer("a", 1), customer("b", 1) });
    submit("job", "a", 1, 200);
    const auto isOfOther = [&](const char* caller, const char* queue) {
        return harness.cell().isOfOtherCustomer(JobId { "job" }, CustomerId { caller }, QueueAddress { queue });
    };
    EXPECT_FALSE(isOfOther("a", "q"));
    EXPECT_TRUE(isOfOther("b", "q"));
    EXPECT_FALSE(isOfOther("", "q")); // The route needs no key any more.
    EXPECT_TRUE(isOfOther("", "open")); // Through another route that needs none.
    configure({ customer("b", 1) }); // Renamed: the caller must still find its job.
    EXPECT_FALSE(isOfOther("b", "q"));
}

TEST_F(CustomersOfACell, JobsBeyondTheWeightWaitBehindThoseOfOthers)
{
    configure({ customer("hot", 1), customer("usual", 1) });
    for (int number = 0; number < 20; ++number)
        submit("hot-" + std::to_string(number), "hot", 1, 1000);
    submit("usual-1", "usual", 1, 1000);
    harness.advance(10ms);
    const auto started = startedJobs();
    ASSERT_EQ(started.size(), 2U);
    EXPECT_TRUE(std::find(started.begin(), started.end(), "usual-1") != started.end());
}

TEST_F(CustomersOfACell, CustomerBelowItsShareGoesFirstAlsoWithLargerJobs)
{
    configure({ customer("small-jobs", 50), customer("large-jobs", 50) });
    for (int number = 0; number < 10; ++number)
        submit("small-" + std::to_string(number), "small-jobs", 1, 250);
    submit("large", "large-jobs", 1, 300);
    harness.advance(10ms);
    const auto started = startedJobs();
    EXPECT_TRUE(std::find(started.begin(), started.end(), "large") != started.end());
}

TEST_F(CustomersOfACell, ShareThatNobodyElseWantsIsUsed)
{
    configure({ customer("a", 1), customer("b", 100) });
    submit("job", "a", 4, 500);
    harness.advance(10ms);
    EXPECT_EQ(startedJobs().size(), 4U);
}

TEST_F(CustomersOfACell, QuotaIsNamedAsWhatATaskWaitsFor)
{
    configure({ customer("a", 1, millicores(1000)) });
    setLimit("a", 0);
    submit("job", "a", 1, 200);
    for (int passes = 0; passes < 10; ++passes) {
        harness.advance(500ms);
        harness.answerAllPolls();
    }
    const auto events = harness.missingRunEvents();
    ASSERT_FALSE(events.empty());
    EXPECT_EQ(events.back().reason, MissingRunReason::QuotaUsedUp);
}
