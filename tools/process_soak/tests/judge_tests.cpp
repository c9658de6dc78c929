#include "judge.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::tools;
using namespace std::chrono_literals;

namespace {

const jobs::JobId job { "00000000000000a1" };

TimePoint at(Duration since) { return TimePoint { 100s } + since; }

RunRecord ended(jobs::RunNumber run, Duration start, Duration end, Ending ending)
{
    RunRecord record { { job }, run, jobs::WorkerId { "i-" + std::to_string(run) }, 1, false, at(start) };
    record.endedAt = at(end);
    record.ending = ending;
    record.acknowledgedAt = at(end + 50ms);
    return record;
}

RunRecord lasting(int index, Duration start)
{
    return { { job, 0, 0, index }, 1, jobs::WorkerId { "i-" + std::to_string(index) }, 1, true, at(start) };
}

History history(bool isLasting = false)
{
    History made;
    made.beganAt = at(0s);
    made.attempts = 3;
    made.jobs[job] = { isLasting ? 2 : 1, isLasting, at(0s), std::nullopt, "completed" };
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

TEST(ProcessJudge, PlainPlayBreaksNothing)
{
    History made = history();
    made.runs = { ended(1, 1s, 2s, Ending::Failed), ended(2, 3s, 4s, Ending::Done) };
    EXPECT_EQ(rules(made), Rules {});
}

TEST(ProcessJudge, FourthStartAfterThreeFailuresThatAreAcknowledgedLater)
{
    History made = history();
    made.runs = { ended(1, 1s, 2s, Ending::Failed), ended(2, 3s, 4s, Ending::Failed), ended(3, 5s, 6s, Ending::Failed),
        ended(4, 7s, 8s, Ending::Done) };
    made.runs[1].acknowledgedAt = at(9s);
    EXPECT_EQ(rules(made), Rules { "BUDGET" });
    made.runs[1].acknowledgedAt.reset();
    EXPECT_EQ(rules(made), Rules {});
}

TEST(ProcessJudge, TwoRunsAtOnce)
{
    History made = history();
    made.runs = { ended(1, 1s, 4s, Ending::Stopped), ended(2, 3s, 5s, Ending::Done) };
    EXPECT_EQ(rules(made), Rules { "TWICE" });
}

TEST(ProcessJudge, StartAfterAnAcknowledgedEnd)
{
    History made = history();
    made.runs = { ended(1, 1s, 2s, Ending::Done), ended(2, 3s, 5s, Ending::Done) };
    EXPECT_EQ(rules(made), Rules { "TWICE" });
}

TEST(ProcessJudge, CallCutAtATermination)
{
    History made = history();
    made.jobs.clear();
    made.troubles = { { "SIGTERM", "n1", true, true, at(10s), at(13s) } };
    made.brokenCalls = { { "n1", "GET", at(11s), at(12s) } };
    EXPECT_EQ(rules(made), Rules { "LOST (a)" });
    made.troubles.push_back({ "SIGKILL", "n2", true, false, at(9s), at(9500ms) });
    EXPECT_EQ(rules(made), Rules {});
}

TEST(ProcessJudge, AcceptedJobIsDenied)
{
    History made = history();
    made.denials = { { "n1", job, at(4s) } };
    EXPECT_EQ(rules(made), Rules { "LOST (b)" });
    made.denials[0].sentAt = at(2s);
    EXPECT_EQ(rules(made), Rules {});
}

TEST(ProcessJudge, AcceptedJobIsNotEnded)
{
    History made = history();
    made.jobs[job].lastState = "active";
    EXPECT_EQ(rules(made), Rules { "LOST (c)" });
    made.jobs[job].lastState = "failed";
    EXPECT_EQ(rules(made), Rules { "LOST (c)" });
}

TEST(ProcessJudge, LastingSubtaskDoesNotRun)
{
    History made = history(true);
    made.runs = { lasting(0, 1s) };
    EXPECT_EQ(rules(made), Rules { "LOST (c)" });
}

TEST(ProcessJudge, StartOnAWorkerThatLeaves)
{
    History made = history();
    made.runs = { ended(1, 5s, 6s, Ending::Done) };
    made.drains = { { jobs::WorkerId { "i-1" }, at(2s) } };
    EXPECT_EQ(rules(made), Rules { "DRAIN" });
    made.drains[0].at = at(4s);
    EXPECT_EQ(rules(made), Rules {});
}

TEST(ProcessJudge, SecondOfAStepIsTakenAway)
{
    History made = history(true);
    made.runs = { lasting(0, 1s), lasting(1, 1s), lasting(0, 9s), lasting(1, 9s) };
    made.runs[0].stopOrderedAt = at(5s);
    made.runs[1].stopOrderedAt = at(5500ms);
    for (int first = 0; first < 2; ++first) {
        made.runs[static_cast<std::size_t>(first)].endedAt = at(6s);
        made.runs[static_cast<std::size_t>(first)].ending = Ending::Stopped;
    }
    EXPECT_EQ(rules(made), Rules { "AVAIL" });
    made.runs[1].wasDraining = true;
    EXPECT_EQ(rules(made), Rules {});
}

TEST(ProcessJudge, StartAfterTheJobWasShownAsCompleted)
{
    History made = history();
    made.jobs[job].completedShownAt = at(3s);
    made.runs = { ended(1, 1s, 2s, Ending::Done), ended(2, 4100ms, 5s, Ending::Stopped) };
    made.runs[0].acknowledgedAt.reset();
    EXPECT_EQ(rules(made), Rules { "TWICE" });
    made.runs[1].startedAt = at(3900ms);
    EXPECT_EQ(rules(made), Rules {});
}
