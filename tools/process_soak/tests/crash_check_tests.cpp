#include "crash_check.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::tools;
using namespace std::chrono_literals;

namespace {

const jobs::JobId job { "00000000000000a1" };

TimePoint at(Duration since) { return TimePoint { 100s } + since; }

/// A job whose one subtask crashes the workers that start it, shown as failed.
History crashingJob()
{
    History made;
    made.beganAt = at(0s);
    made.endedAt = at(60s);
    made.attempts = 3;
    made.jobs[job] = { 1, false, at(0s), std::nullopt, "failed", "poolA", true };
    return made;
}

/// Adds a run that starts at `start` and takes its worker down 10 ms later.
void addCrash(History& made, Duration start, int index = 0)
{
    const auto number = static_cast<jobs::RunNumber>(made.runs.size() + 1);
    RunRecord run { { job, 0, 0, index }, number, jobs::WorkerId { "i-" + std::to_string(number) }, 1, false,
        at(start) };
    run.endedAt = at(start + 10ms);
    run.ending = Ending::Gone;
    made.runs.push_back(std::move(run));
}

History crashedTimes(int count)
{
    History made = crashingJob();
    for (int each = 0; each < count; ++each)
        addCrash(made, 1s + each * 4s);
    return made;
}

std::vector<std::string> rules(const History& made)
{
    std::vector<std::string> names;
    for (const Violation& violation : judge(made))
        names.push_back(violation.rule);
    return names;
}

using Rules = std::vector<std::string>;

} // namespace

TEST(CrashCheck, SixthStartBreaksTheLimit)
{
    EXPECT_EQ(rules(crashedTimes(5)), Rules {});
    EXPECT_EQ(rules(crashedTimes(6)), Rules { "BUDGET (crash)" });
}

TEST(CrashCheck, StartsAreCountedHoweverTheyEnd)
{
    History made = crashedTimes(6);
    made.runs[4].ending = Ending::Stopped;
    made.runs[5].ending = Ending::AtWork;
    made.runs[5].endedAt.reset();
    EXPECT_EQ(rules(made), Rules { "BUDGET (crash)" });
}

TEST(CrashCheck, RunsThatEndedOtherwiseAreNoCrashes)
{
    History made = crashedTimes(6);
    made.runs[0].ending = Ending::Stopped;
    EXPECT_EQ(rules(made), Rules {});
    addCrash(made, 30s);
    EXPECT_EQ(rules(made), Rules { "BUDGET (crash)" });
}

TEST(CrashCheck, EachSubtaskHasItsOwnLimit)
{
    History made = crashedTimes(4);
    made.jobs[job].count = 2;
    for (int each = 0; each < 4; ++each)
        addCrash(made, 2s + each * 4s, 1);
    EXPECT_EQ(rules(made), Rules {});
}

TEST(CrashCheck, CancelledJobKeepsTheLimit)
{
    History made = crashedTimes(6);
    made.jobs[job].cancelSentAt = at(2s);
    EXPECT_EQ(rules(made), Rules { "BUDGET (crash)" });
}

TEST(CrashCheck, WorkersLostUnderAnInnocentSubtask)
{
    History made = crashedTimes(6);
    made.jobs[job].crashesWorkers = false;
    made.jobs[job].lastState = "completed";
    EXPECT_EQ(rules(made), Rules {});
}

TEST(CrashCheck, InnocentJobIsShownAsFailed)
{
    History made = crashedTimes(5);
    made.jobs[job].crashesWorkers = false;
    EXPECT_EQ(rules(made), Rules { "LOST (c)" });
}

TEST(CrashCheck, CrashingJobIsGivenUpAfterOneCrash)
{
    EXPECT_EQ(rules(crashedTimes(1)), Rules { "LOST (c)" });
    EXPECT_EQ(rules(crashedTimes(2)), Rules {});
}

TEST(CrashCheck, TwoSubtasksWithOneCrashEach)
{
    History made = crashedTimes(1);
    made.jobs[job].count = 2;
    addCrash(made, 2s, 1);
    EXPECT_EQ(rules(made), Rules { "LOST (c)" });
}

TEST(CrashCheck, CrashingJobIsNotShownAsFailed)
{
    for (const char* state : { "completed", "active", "pending", "gone", "silent" }) {
        History made = crashedTimes(5);
        made.jobs[job].lastState = state;
        EXPECT_EQ(rules(made), Rules { "LOST (c)" }) << state;
    }
}
