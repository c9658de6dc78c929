#include "lasting_check.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::tools;
using namespace std::chrono_literals;

namespace {

const jobs::JobId job { "00000000000000a1" };
const jobs::WorkerId first { "i-1" };
const jobs::WorkerId second { "i-2" };

TimePoint at(Duration since) { return TimePoint { 100s } + since; }

RunRecord lastingRun(jobs::RunNumber number, const jobs::WorkerId& worker, Duration start)
{
    return { { job }, number, worker, 1, true, at(start) };
}

/// The subtask runs on a worker that dies at 20 s and stays away; a second worker of its pool is idle. The play ends at
/// 60 s.
History deathOfWorker()
{
    History made;
    made.beganAt = at(0s);
    made.endedAt = at(60s);
    made.jobs[job] = { 1, true, at(1s), std::nullopt, "active", "poolA" };
    made.lives = { { first, "poolA", at(0s), at(20s) }, { second, "poolA", at(0s) } };
    made.runs = { lastingRun(1, first, 1200ms) };
    made.runs[0].endedAt = at(20s);
    made.runs[0].ending = Ending::Gone;
    made.troubles = { { "death", "i-1", false, false, at(20s) } };
    return made;
}

History restartedAt(Duration start)
{
    History made = deathOfWorker();
    made.runs.push_back(lastingRun(2, second, start));
    return made;
}

std::size_t violations(const History& made)
{
    std::vector<Violation> found;
    judgeLastingGaps(made, found);
    return found.size();
}

} // namespace

TEST(LastingCheck, NoSuccessorAfterTheWorkerDied)
{
    EXPECT_EQ(violations(deathOfWorker()), 1);
    EXPECT_EQ(violations(restartedAt(29100ms)), 1);
}

TEST(LastingCheck, SuccessorWithinTheBound)
{
    EXPECT_EQ(violations(restartedAt(22s)), 0);
    EXPECT_EQ(violations(restartedAt(28900ms)), 0);
}

TEST(LastingCheck, NoFirstStart)
{
    History made = deathOfWorker();
    made.runs.clear();
    made.troubles.clear();
    EXPECT_EQ(violations(made), 1);
    made.runs = { lastingRun(1, second, 9900ms) };
    EXPECT_EQ(violations(made), 0);
    made.runs = { lastingRun(1, second, 10100ms) };
    EXPECT_EQ(violations(made), 1);
}

TEST(LastingCheck, EachGapOfASubtaskCounts)
{
    History made = restartedAt(30s);
    made.runs[1].endedAt = at(40s);
    made.runs[1].ending = Ending::Lapsed;
    EXPECT_EQ(violations(made), 2);
}

TEST(LastingCheck, OneSubtaskStandsStillBesideAnotherThatRuns)
{
    History made = restartedAt(22s);
    made.jobs[job].count = 2;
    EXPECT_EQ(violations(made), 1);
}

TEST(LastingCheck, CancelledJob)
{
    History made = deathOfWorker();
    made.jobs[job].cancelSentAt = at(28s);
    EXPECT_EQ(violations(made), 0);
    made.jobs[job].cancelSentAt = at(30s);
    EXPECT_EQ(violations(made), 1);
}

TEST(LastingCheck, JobThatWasNotAccepted)
{
    History made = deathOfWorker();
    made.jobs[job].acceptedAt.reset();
    EXPECT_EQ(violations(made), 0);
}

TEST(LastingCheck, TroubleWithinTheWindowOrTheCalmBeforeIt)
{
    History made = restartedAt(32s);
    EXPECT_EQ(violations(made), 1);
    for (const char* what : { "SIGKILL", "crash", "SIGSTOP", "store link silence", "worker link resets", "SIGTERM" }) {
        made.troubles.push_back({ what, "n1", true, false, at(25500ms), at(25600ms) });
        EXPECT_EQ(violations(made), 0) << what;
        made.runs[1].startedAt = at(32700ms);
        EXPECT_EQ(violations(made), 1) << what;
        made.runs[1].startedAt = at(32s);
        made.troubles.pop_back();
    }
}

TEST(LastingCheck, TroubleThatGoesOn)
{
    History made = deathOfWorker();
    made.troubles.push_back({ "store link silence", "n1", true, false, at(15s), at(59s) });
    EXPECT_EQ(violations(made), 0);
    made.troubles[1].to = at(40s);
    EXPECT_EQ(violations(made), 1);
}

TEST(LastingCheck, WorkerThatStaysAwayDisturbsNothingMore)
{
    History made = deathOfWorker();
    made.troubles.push_back({ "crash", "i-3", false, false, at(19s), at(59s) });
    made.troubles.push_back({ "SIGKILL", "n1", true, false, at(19s), at(59s) });
    EXPECT_EQ(violations(made), 1);
}

TEST(LastingCheck, PoolWithoutRoom)
{
    History made = deathOfWorker();
    made.drains = { { second, at(10s) } };
    EXPECT_EQ(violations(made), 0);
    made.drains.clear();
    made.lives[1].pool = "poolB";
    EXPECT_EQ(violations(made), 0);
    made.lives[1].pool = "poolA";
    for (int index = 1; index <= 6; ++index)
        made.runs.push_back({ { jobs::JobId { "00000000000000b1" }, 0, 0, index }, 1, second, 1, false, at(15s) });
    EXPECT_EQ(violations(made), 1);
    made.runs.push_back({ { jobs::JobId { "00000000000000b1" }, 0, 0, 7 }, 1, second, 1, false, at(15s) });
    EXPECT_EQ(violations(made), 0);
}
