#include "rattanrack/jobs/best_effort_throttle.h"
#include "rattanrack/jobs/job_codec.h"
#include "rattanrack/jobs/lease_clock.h"
#include "rattanrack/jobs/placement.h"
#include "rattanrack/jobs/runtime_estimator.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

Job twoSteps()
{
    Job job { JobId { "j" }, QueueId { "q" }, 5, { "text", { {}, {} }, {} } };
    job.spec.steps[0].count = 2;
    job.spec.steps[1].dependsOn = { 0 };
    return job;
}

Candidate candidate(const WorkerDescription& worker) { return { &worker, worker.capacity }; }

WorkerDescription workerIn(const std::string& name, const std::string& rack)
{
    WorkerDescription worker { WorkerId { name } };
    worker.capacity = { Millicores { 16000 }, Mebibytes { 64000 }, {} };
    worker.rack = rack;
    worker.labels = { "a", rack };
    return worker;
}

} // namespace

TEST(JobSpec, InvalidDescriptionsAreRejected)
{
    JobSpec spec = twoSteps().spec;
    EXPECT_EQ(validationError(spec), "");
    spec.steps[1].dependsOn = { 1 };
    EXPECT_NE(validationError(spec), "");
    spec.steps[1].dependsOn = {};
    spec.steps[1].count = 0;
    EXPECT_NE(validationError(spec), "");
    spec.steps[1].count = maxTasksPerJob;
    EXPECT_NE(validationError(spec), "");
    EXPECT_NE(validationError({}), "");
}

TEST(JobCodec, DeeplyNestedBytesAreMalformed)
{
    constexpr std::size_t levels = 1'000'000;
    constexpr char arrayOfOne = '\x81';
    const std::string nested(levels, arrayOfOne);
    ErrorCode code {};
    const auto decoded
        = valueOrNothing([&] { return decodeJob(nested); }, [&](const Error& error) { code = error.code; });
    EXPECT_FALSE(decoded.has_value());
    EXPECT_EQ(code, ErrorCode::MalformedMessage);
}

TEST(JobProgress, StepsWaitForTheirDependencies)
{
    const Job job = twoSteps();
    JobProgress progress { job };
    EXPECT_TRUE(progress.isReady(0, 0, 0));
    EXPECT_FALSE(progress.isReady(0, 1, 0));
    EXPECT_EQ(progress.state(), JobState::Queued);
    for (int index : { 0, 1 }) {
        progress.onStartSent({ job.id, 0, 0, index }, 1);
        progress.onRunning({ job.id, 0, 0, index });
        progress.onDone({ job.id, 0, 0, index });
    }
    EXPECT_TRUE(progress.isReady(0, 1, 0));
    EXPECT_EQ(progress.state(), JobState::Active);
    progress.onDone({ job.id, 0, 1, 0 });
    EXPECT_EQ(progress.state(), JobState::Completed);
    progress.cancel(9);
    EXPECT_EQ(progress.state(), JobState::Completed);
}

TEST(JobProgress, StoredProgressKeepsDoneTasksAndFailures)
{
    const Job job = twoSteps();
    JobProgress progress { job };
    progress.onStartSent({ job.id, 0, 0, 1 }, 1);
    progress.onRunning({ job.id, 0, 0, 1 });
    progress.onRunEnded({ job.id, 0, 0, 1 });
    EXPECT_TRUE(progress.countFailure({ job.id, 0, 0, 1 }, 1));
    progress.onDone({ job.id, 0, 0, 0 });
    const auto stored = valueOrNothing([&] { return decodeProgress(encode(progress.toStored())); });
    ASSERT_TRUE(stored);
    const JobProgress again { job, *stored };
    EXPECT_EQ(again.state(), JobState::Active);
    EXPECT_EQ(again.task({ job.id, 0, 0, 0 }).phase, TaskPhase::Done);
    EXPECT_EQ(again.task({ job.id, 0, 0, 1 }).failures(), 1);
    EXPECT_EQ(again.waitingTasks(0, 0), 1);
}

TEST(JobProgress, FailureListedAgainToTheNextOwnerCountsOnce)
{
    const Job job = twoSteps();
    JobProgress progress { job };
    const TaskRef task { job.id, 0, 0, 1 };
    EXPECT_TRUE(progress.countFailure(task, 7));
    JobProgress next { job, progress.toStored() };
    EXPECT_FALSE(next.countFailure(task, 7));
    EXPECT_EQ(next.task(task).failures(), 1);
    EXPECT_TRUE(next.countFailure(task, 8));
    EXPECT_EQ(next.task(task).failures(), 2);
}

TEST(JobProgress, FailuresCountInAnyOrderOfListing)
{
    const Job job = twoSteps();
    JobProgress progress { job };
    const TaskRef task { job.id, 0, 0, 1 };
    for (const RunNumber run : { 9, 7, 8 })
        EXPECT_TRUE(progress.countFailure(task, run));
    const auto stored = valueOrNothing([&] { return decodeProgress(encode(progress.toStored())); });
    ASSERT_TRUE(stored);
    JobProgress next { job, *stored };
    for (const RunNumber run : { 8, 9, 7 })
        EXPECT_FALSE(next.countFailure(task, run));
    EXPECT_EQ(next.task(task).failures(), 3);
}

TEST(JobProgress, OccurrencesBecomeReadyWhenDue)
{
    Job job = twoSteps();
    job.spec.schedule = { 2, 1000, 500 };
    const JobProgress progress { job };
    EXPECT_FALSE(progress.isReady(0, 0, 999));
    EXPECT_TRUE(progress.isReady(0, 0, 1000));
    EXPECT_FALSE(progress.isReady(1, 0, 1499));
}

TEST(JobProgress, OneDoneTaskCompletesTheGang)
{
    Job job = twoSteps();
    job.spec.steps[0].isGang = true;
    JobProgress progress { job };
    progress.onDone({ job.id, 0, 0, 1 });
    EXPECT_TRUE(progress.isStepDone(0, 0));
}

TEST(JobCodec, JobsRoundTrip)
{
    Job job = twoSteps();
    job.spec.steps[0] = { 3, { Millicores { 5 }, Mebibytes { 6 }, Accelerators { 7 } }, 9ms, {}, true, true, true, "l",
        "r", 2, true, true, "i", 40ms, true, 1 };
    job.spec.schedule = { 2, 3, 4 };
    job.maxAttempts = 5;
    job.queueAddress = QueueAddress { "a.example/jobs/" };
    job.requiresTickets = true;
    EXPECT_EQ(valueOrNothing([&] { return decodeJob(encode(job)); }), job);
    EXPECT_FALSE(valueOrNothing([] { return decodeJob("nothing"); }));
}

TEST(LeaseClock, LeaseEndAllowsForASlowClock)
{
    LeaseClock clock;
    const TimePoint now { 100s };
    clock.observe(5000, now, now);
    EXPECT_EQ(clock.grant(4s, now), 9000);
    EXPECT_GE(clock.leasesEndAt() - now, Duration { 4081ms });
    EXPECT_LE(clock.leasesEndAt() - now, Duration { 4300ms });
    EXPECT_EQ(clock.grant(1s, now), 9000); // A later grant never shortens a lease.
}

TEST(BestEffortThrottle, ShareDropsWithinTwoSecondsOfInterferenceAndRecoversSlowly)
{
    BestEffortThrottle throttle;
    TimePoint now { 100s };
    EXPECT_EQ(throttle.observe(0.3, now), 100);
    // The tail latency grows with the share of the best-effort tasks: 0.3 times the target without them, 1.4 times at
    // their full share.
    TimePoint throttledAt {};
    for (int observation = 0; observation < 20; ++observation) {
        now += 500ms;
        const int percent = throttle.observe(0.3 + 1.1 * throttle.percent() / 100, now);
        if (percent < 60 && throttledAt == TimePoint {})
            throttledAt = now;
    }
    EXPECT_LE(throttledAt - TimePoint { 100s }, Duration { 2s });
    int reductions = 0;
    int last = throttle.percent();
    for (int observation = 0; observation < 60; ++observation) {
        now += 500ms;
        const int percent = throttle.observe(0.3 + 1.1 * throttle.percent() / 100, now);
        EXPECT_LT(0.3 + 1.1 * percent / 100, 1.0);
        reductions += percent < last ? 1 : 0;
        last = percent;
    }
    EXPECT_LE(reductions, 6);
}

TEST(RuntimeEstimator, WeighsDeclaredTimeAgainstMeanByTheirErrors)
{
    RuntimeEstimator proportional;
    RuntimeEstimator unrelated;
    const QueueId queue { "q" };
    for (int run = 1; run <= 200; ++run) {
        const Duration actual = 100ms * (1 + run % 10);
        proportional.observe(queue, actual * 2, actual); // Declared times are always twice too long.
        unrelated.observe(queue, 100ms * (1 + run * 7 % 13), actual);
    }
    EXPECT_NEAR(static_cast<double>(proportional.estimate(queue, 2s).count()), 1e6, 1.5e5);
    EXPECT_LT(unrelated.estimate(queue, 1300ms), Duration { 900ms });
    EXPECT_EQ(RuntimeEstimator {}.estimate(queue, 7ms), Duration { 7ms });
}

TEST(Placement, PrefersTheRackOfTheDataThenTheEmptiestWorker)
{
    const auto near = workerIn("near", "r1");
    const auto far = workerIn("far", "r2");
    Step step;
    step.size.processors = Millicores { 1000 };
    std::vector<Candidate> candidates { candidate(far), candidate(near) };
    candidates[1].free.processors = Millicores { 1500 };
    EXPECT_EQ(chooseWorker(step, candidates), 0);
    step.dataRack = "r1";
    EXPECT_EQ(chooseWorker(step, candidates), 1);
    candidates[1].free.processors = Millicores { 500 };
    EXPECT_EQ(chooseWorker(step, candidates), 0);
}

TEST(Placement, LongRunningTasksAreSpreadAndBestEffortTasksAvoidServingOnes)
{
    const auto first = workerIn("1", "r1");
    const auto second = workerIn("2", "r2");
    Step longRunning;
    longRunning.isLongRunning = true;
    std::vector<Candidate> candidates { candidate(first), candidate(second) };
    candidates[0].sameStepRuns = 1;
    candidates[1].free.processors = Millicores { 3000 };
    EXPECT_EQ(chooseWorker(longRunning, candidates), 1);
    Step bestEffort;
    bestEffort.isBestEffort = true;
    bestEffort.isLongRunning = true;
    candidates[0].sameStepRuns = 0;
    candidates[1].serving = 1;
    EXPECT_EQ(chooseWorker(bestEffort, candidates), 0);
    longRunning.maxPerWorker = 1;
    candidates[0].sameStepRuns = candidates[1].sameStepRuns = 1;
    EXPECT_EQ(chooseWorker(longRunning, candidates), -1);
}

TEST(Placement, LabelsAndCapacityAreRequired)
{
    const auto worker = workerIn("1", "r1");
    Step step;
    step.requiredLabel = "gpu";
    EXPECT_EQ(chooseWorker(step, { candidate(worker) }), -1);
    step.requiredLabel = "a";
    EXPECT_EQ(chooseWorker(step, { candidate(worker) }), 0);
    step.size.memory = Mebibytes { 64001 };
    EXPECT_FALSE(isEligible(step, worker));
}
