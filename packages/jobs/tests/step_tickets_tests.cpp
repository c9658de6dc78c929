#include "../src/step_tickets.h"
#include "cell_harness.h"

#include <set>
#include <string>
#include <vector>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;

namespace {

constexpr int workerCount = 70;

WorkerId workerId(int number) { return WorkerId { "w" + std::to_string(100 + number) }; }

/// A cell of many workers whose queue requires tickets, and the advice service, which allows some of them.
class TicketedCell {
public:
    TicketedCell(std::set<WorkerId> allowed, Duration validFor)
        : m_allowed(std::move(allowed))
        , m_validFor(validFor)
    {
        QueueSettings queue { QueueId { "q" }, PoolId { "p" }, 0, 3, 1.6, 600ms };
        queue.requiresTickets = true;
        harness.cell().configure({ queue });
        std::vector<WorkerDescription> workers;
        for (int number = 0; number < workerCount; ++number) {
            WorkerDescription worker { workerId(number), MachineId { workerId(number).value() }, PoolId { "p" },
                "10.0.0.1:1" };
            worker.capacity = { Millicores { 1000 }, Mebibytes { 1000 }, {} };
            worker.incarnationUnixMs = 1;
            workers.push_back(worker);
        }
        harness.listWorkers(workers);
        for (int passes = 0; passes < 3; ++passes)
            pass();
    }

    /// The next 20 ms. Returns the starts issued in them.
    std::vector<StartCommand> pass()
    {
        harness.confirmOwnership();
        harness.advance(20ms);
        harness.answerAllPolls();
        for (const AdviceRequest& request : harness.takeAdviceRequests())
            answer(request);
        return harness.takeCommands<StartCommand>();
    }

    /// Returns the starts of the next 400 ms.
    std::vector<StartCommand> startsSoon()
    {
        std::vector<StartCommand> starts;
        for (int passes = 0; passes < 20; ++passes) {
            for (const StartCommand& start : pass())
                starts.push_back(start);
        }
        return starts;
    }

    CellHarness harness;
    int requests { 0 };
    std::size_t mostWorkersAsked { 0 };

private:
    void answer(const AdviceRequest& request)
    {
        ++requests;
        mostWorkersAsked = std::max(mostWorkersAsked, request.workers.size());
        AdviceResponse response { request.step, true, {}, m_validFor };
        for (const WorkerId& worker : request.workers) {
            if (m_allowed.contains(worker))
                response.tickets.push_back({ worker, "ticket of " + worker.value() });
        }
        harness.cell().onAdvice(response, harness.now());
    }

    std::set<WorkerId> m_allowed;
    Duration m_validFor;
};

} // namespace

TEST(StepTickets, TaskStartsWhereTheOnlyAllowedWorkerIsTheLastOne)
{
    TicketedCell cell { { workerId(workerCount - 1) }, 5s };
    cell.harness.submitAndStore("a");
    const auto starts = cell.startsSoon();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].worker, workerId(workerCount - 1));
    EXPECT_EQ(starts[0].ticket, "ticket of " + starts[0].worker.value());
    EXPECT_EQ(cell.requests, 3);
    EXPECT_EQ(cell.mostWorkersAsked, 30U);
}

TEST(StepTickets, TaskStartsWithATicketThatIsValidForAShortTime)
{
    TicketedCell cell { { workerId(0) }, 100ms };
    cell.harness.submitAndStore("a");
    EXPECT_EQ(cell.startsSoon().size(), 1U);
}

TEST(StepTickets, FurtherWorkersAreAskedAboutWhileTasksFindNoRoom)
{
    TicketedCell cell { { workerId(0), workerId(40) }, 5s };
    Job job { JobId { "a" }, QueueId { "q" }, 1'000'000, { "text", { {} }, {} } };
    job.spec.steps[0].count = 2;
    job.spec.steps[0].size = { Millicores { 800 }, Mebibytes { 100 }, {} };
    cell.harness.cell().submit(job, 1, cell.harness.now());
    cell.harness.storeChanges();
    EXPECT_EQ(cell.startsSoon().size(), 2U);
}

TEST(StepTickets, CandidatesAreNotExaminedInEachPassWhileAllAnswersAreKnown)
{
    WorkerDescription worker { workerId(0), MachineId { "m" }, PoolId { "p" }, "10.0.0.1:1" };
    const std::vector<TicketCandidate> candidates { { &worker, true } };
    const TimePoint now { 1000s };
    jobs::StepTickets tickets;
    ASSERT_EQ(tickets.nextRequest(candidates, now).size(), 1U);
    tickets.onResponse({ {}, true, {}, 5s }, now);
    ASSERT_TRUE(tickets.isRequestDue(now));
    EXPECT_TRUE(tickets.nextRequest(candidates, now).empty());
    EXPECT_FALSE(tickets.isRequestDue(now + 30ms));
    EXPECT_TRUE(tickets.isRequestDue(now + 1s));
}

TEST(StepTickets, OneRequestSufficesWhereTheAllowedWorkersHaveRoom)
{
    std::set<WorkerId> allowed;
    for (int number = 0; number < workerCount; ++number)
        allowed.insert(workerId(number));
    TicketedCell cell { allowed, 5s };
    cell.harness.submitAndStore("a");
    EXPECT_EQ(cell.startsSoon().size(), 1U);
    EXPECT_EQ(cell.requests, 1);
}
