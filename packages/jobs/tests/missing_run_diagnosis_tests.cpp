#include "../src/missing_run_diagnosis.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now { 1000s };
const TaskRef task { JobId { "waiting" }, 0, 0, 0 };
const TaskRef otherTask { JobId { "other" }, 0, 0, 0 };

/// A cell with two workers that start whatever they are told to, and a job with one task that waits.
class MissingRunDiagnosisTest : public testing::Test {
protected:
    MissingRunDiagnosisTest()
    {
        state.queues[QueueId { "q" }] = { QueueId { "q" }, PoolId { "p" }, 0, 3, 1.6, 600ms };
        Job job { task.job, QueueId { "q" }, 0, { "text", { {} }, {} } };
        job.spec.steps[0].size = { Millicores { 600 }, Mebibytes { 100 }, {} };
        state.addJob(std::make_unique<JobEntry>(job, JobProgress { job }));
        entry().isStored = true;
        for (const char* name : { "w1", "w2" })
            addWorker(name);
        state.isRecovering = false;
    }

    void addWorker(const char* name)
    {
        Worker& worker = state.workers[WorkerId { name }];
        worker.description = { WorkerId { name }, MachineId { name }, PoolId { "p" }, "10.0.0.1:1" };
        worker.description.capacity = { Millicores { 1000 }, Mebibytes { 1000 }, {} };
        worker.description.incarnationUnixMs = worker.incarnationUnixMs = 1;
        worker.isListed = true;
        worker.contact = WorkerContact::Responsive;
        worker.clock.beginIncarnation(1, 6s, {});
        worker.clock.observe(1000, now - 10ms, now);
        state.storedWorkers.emplace(worker.description.id, worker.description.machine);
    }

    JobEntry& entry() { return *state.find(task.job); }
    Step& step() { return entry().job.spec.steps[0]; }

    template <typename Change> void forEachWorker(Change change)
    {
        for (auto& [id, worker] : state.workers)
            change(worker);
    }

    jobs::Run& addRun(const char* worker, const TaskRef& of, RunPhase phase)
    {
        jobs::Run& run = state.addRun(state.workers.at(WorkerId { worker }), of, 7, &step());
        run.phase = phase;
        return run;
    }

    MissingRunEvent diagnose(bool mayStart = true)
    {
        return MissingRunDiagnosis { state, mayStart, now }.diagnose(entry(), task);
    }

    MissingRunReason reason(bool mayStart = true) { return diagnose(mayStart).reason; }

    CellState state { CellSettings { PoolId { "p" }, 1, 4500ms, 10500ms, 120s, 900ms, 6s } };
};

} // namespace

TEST_F(MissingRunDiagnosisTest, UnresolvedRunIsNamedWithItsWorker)
{
    jobs::Run& run = addRun("w2", task, RunPhase::Starting);
    EXPECT_EQ(reason(), MissingRunReason::StartWithoutResponse);
    EXPECT_EQ(diagnose().run, 7);
    EXPECT_EQ(diagnose().worker, WorkerId { "w2" });
    run.hasCommandInFlight = true;
    EXPECT_EQ(reason(), MissingRunReason::StartInFlight);
    run.phase = RunPhase::Stopping;
    EXPECT_EQ(reason(), MissingRunReason::Stopping);
}

TEST_F(MissingRunDiagnosisTest, ReasonsOfTheJobAndItsOwnerComeBeforeThoseOfWorkers)
{
    forEachWorker([](Worker& worker) { worker.isListed = false; });
    EXPECT_EQ(reason(false), MissingRunReason::OwnerMayStartNothing);
    entry().isStored = false;
    EXPECT_EQ(reason(), MissingRunReason::JobNotStored);
    entry().isStored = true;
    entry().isTakenOver = state.isRecovering = true;
    EXPECT_EQ(reason(), MissingRunReason::PreviousOwners);
    entry().isTakenOver = false;
    entry().queue = nullptr;
    entry().job.maxAttempts = 0;
    EXPECT_EQ(reason(), MissingRunReason::QueueNotConfigured);
}

TEST_F(MissingRunDiagnosisTest, FailureThatIsNotStored)
{
    entry().progress.countFailure(task, 1);
    state.markChanged(entry());
    entry().holdUntilStored(positionOf(task));
    EXPECT_EQ(reason(), MissingRunReason::FailureNotStored);
}

TEST_F(MissingRunDiagnosisTest, MissingTickets)
{
    state.queues[QueueId { "q" }].requiresTickets = true;
    EXPECT_EQ(reason(), MissingRunReason::NoTicket);
    entry().tickets[{ 0, 0 }].onResponse({ {}, true, { { WorkerId { "w1" }, "ticket" } }, 5s }, now);
    EXPECT_EQ(reason(), MissingRunReason::NotReached);
}

TEST_F(MissingRunDiagnosisTest, EachBarOfWorkersIsNamedAndCounted)
{
    struct Bar {
        void (*raise)(CellState& state, Worker& worker);
        MissingRunReason reason;
    };
    const std::vector<Bar> bars {
        { [](CellState&, Worker& worker) { worker.isListed = false; }, MissingRunReason::WorkerNotListed },
        { [](CellState& cell, Worker&) { cell.storedWorkers.clear(); }, MissingRunReason::WorkerNotStored },
        { [](CellState&, Worker& worker) { worker.contact = WorkerContact::Unknown; },
            MissingRunReason::WorkerNotContacted },
        { [](CellState&, Worker& worker) { worker.contact = WorkerContact::Unresponsive; },
            MissingRunReason::WorkerUnresponsive },
        { [](CellState&, Worker& worker) { worker.clock = {}; }, MissingRunReason::WorkerUnresponsive },
        { [](CellState&, Worker& worker) { worker.incarnationUnixMs = 2; }, MissingRunReason::ListOutdated },
        { [](CellState&, Worker& worker) { worker.startedAtLatest = now; }, MissingRunReason::IncarnationNotConfirmed },
        { [](CellState&, Worker& worker) { worker.description.isDraining = true; }, MissingRunReason::WorkerDraining },
        { [](CellState& cell, Worker& worker) { cell.drainingMachines.insert(worker.description.machine); },
            MissingRunReason::WorkerDraining },
        { [](CellState&, Worker& worker) { worker.startsAllowedAt = now + 1s; },
            MissingRunReason::StartsNotAllowedYet },
        { [](CellState&, Worker& worker) { worker.failingUntil = now + 1s; },
            MissingRunReason::WorkerAvoidedForFailures },
        { [](CellState&, Worker& worker) { worker.avoidUntil = now + 1s; }, MissingRunReason::WorkerAvoidedAfterStart },
        { [](CellState&, Worker& worker) { worker.isSlow = true; }, MissingRunReason::WorkerSlow },
        { [](CellState&, Worker& worker) { worker.startsInFlight = StartWindow::maxPerWorker; },
            MissingRunReason::WorkerStartsInFlight },
        { [](CellState&, Worker& worker) { worker.colocatedRuns.ofUnknownSize = 1; },
            MissingRunReason::RunsOfUnknownSize },
        { [](CellState&, Worker& worker) { worker.isReserved = true; }, MissingRunReason::WorkerReserved },
    };
    for (const Bar& bar : bars) {
        const auto workers = state.workers;
        const auto stored = state.storedWorkers;
        forEachWorker([&](Worker& worker) { bar.raise(state, worker); });
        const MissingRunEvent event = diagnose();
        EXPECT_EQ(event.reason, bar.reason) << describe(event.reason);
        EXPECT_EQ(event.workers, std::string { describeForWorker(bar.reason) } + " 2");
        state.workers = workers;
        state.storedWorkers = stored;
        state.drainingMachines.clear();
        EXPECT_EQ(reason(), MissingRunReason::NotReached);
    }
}

TEST_F(MissingRunDiagnosisTest, OneWorkerThatIsNotBarredIsEnough)
{
    state.workers.at(WorkerId { "w1" }).isListed = false;
    EXPECT_EQ(reason(), MissingRunReason::NotReached);
}

TEST_F(MissingRunDiagnosisTest, FullWorkersHaveNoRoomWhateverElseBarsThem)
{
    addRun("w1", otherTask, RunPhase::Confirmed);
    addRun("w2", { otherTask.job, 0, 0, 1 }, RunPhase::Confirmed);
    state.workers.at(WorkerId { "w2" }).avoidUntil = now + 1s;
    EXPECT_EQ(reason(), MissingRunReason::NoRoom);
    EXPECT_EQ(diagnose().workers, "no room 2");
}

TEST_F(MissingRunDiagnosisTest, RoomOfRunsThatAreNotResolvedIsToldApart)
{
    addRun("w1", otherTask, RunPhase::Starting);
    addRun("w2", { otherTask.job, 0, 0, 1 }, RunPhase::Stopping);
    EXPECT_EQ(reason(), MissingRunReason::RoomHeldByUnresolvedRuns);
    EXPECT_EQ(diagnose().workers, "held by unresolved runs 2");
}

TEST_F(MissingRunDiagnosisTest, MostFrequentReasonOfWorkersIsChosenAndAllAreCounted)
{
    addWorker("w3");
    addRun("w1", otherTask, RunPhase::Confirmed);
    state.workers.at(WorkerId { "w2" }).startsAllowedAt = now + 1s;
    state.workers.at(WorkerId { "w3" }).startsAllowedAt = now + 1s;
    EXPECT_EQ(reason(), MissingRunReason::StartsNotAllowedYet);
    EXPECT_EQ(diagnose().workers, "earlier leases 2, no room 1");
}

TEST_F(MissingRunDiagnosisTest, WorkersThatAreTooSmallOrLackTheLabelAreNotCounted)
{
    step().requiredLabel = "gpu";
    EXPECT_EQ(reason(), MissingRunReason::NoRoom);
    EXPECT_EQ(diagnose().workers, "");
}

TEST_F(MissingRunDiagnosisTest, GangNeedsRoomForAllItsTasks)
{
    step().isGang = true;
    step().count = 3;
    EXPECT_EQ(reason(), MissingRunReason::NoRoom);
    step().count = 2;
    EXPECT_EQ(reason(), MissingRunReason::NotReached);
}

TEST_F(MissingRunDiagnosisTest, RoomBeyondTheLimitPerWorkerIsNotUsable)
{
    step().count = 3;
    step().size = { Millicores { 100 }, Mebibytes { 10 }, {} };
    step().maxPerWorker = 1;
    addRun("w1", { task.job, 0, 0, 1 }, RunPhase::Confirmed);
    EXPECT_EQ(reason(), MissingRunReason::NotReached);
    addRun("w2", { task.job, 0, 0, 2 }, RunPhase::Confirmed);
    EXPECT_EQ(reason(), MissingRunReason::NoRoom);
}

TEST_F(MissingRunDiagnosisTest, LatestPassIsNamedWhenAWorkerHasRoom)
{
    EXPECT_EQ(reason(), MissingRunReason::NotReached);
    state.isWindowFull = true;
    EXPECT_EQ(reason(), MissingRunReason::WindowFull);
    state.isGangHeldBack = true;
    EXPECT_EQ(reason(), MissingRunReason::GangHeldBack);
}
