#include "log_line.h"
#include "program_run.h"

#include "rattanrack/base/log.h"

#include <gtest/gtest.h>

#include <fstream>

namespace {

const std::string job = "26969d888bcb0637";

/// Made-up log of one node. Times are seconds of 2026-12-04T08:00.
class MadeLog {
public:
    MadeLog(const std::string& node, int term)
        : m_path(temporaryPath(node + ".log"))
        , m_owner(" cell=c1 term=" + std::to_string(term))
    {
        raw("time=2026-12-04T08:00:00.000000 level=info event=node.started node=" + node + " listen=127.0.0.1:1");
    }

    MadeLog& raw(const std::string& line)
    {
        m_text += line + '\n';
        return *this;
    }

    MadeLog& add(const std::string& seconds, const std::string& event, const std::string& fields)
    {
        return raw("time=2026-12-04T08:00:" + seconds + " level=info event=" + event + m_owner + ' ' + fields);
    }

    MadeLog& ofJob(const std::string& seconds, const std::string& event, const std::string& detail)
    {
        return add(seconds, event, "job=" + job + " detail=" + detail + " ageMs=0");
    }

    MadeLog& ordered(const std::string& seconds, int run, const std::string& worker, int failures, int unheard = 0)
    {
        return ofRun(seconds, "run.ordered", run, worker, failures, unheard, "\"\"");
    }

    MadeLog& ended(const std::string& seconds, int run, const std::string& worker, int failures, const char* how)
    {
        return ofRun(seconds, "run.ended", run, worker, failures, 0, how);
    }

    MadeLog& ofRun(const std::string& seconds, const std::string& event, int run, const std::string& worker,
        int failures, int unheard, const std::string& detail)
    {
        return add(seconds, event,
            "job=" + job + " task=0.0.1 run=" + std::to_string(run) + " worker=" + worker + " failures="
                + std::to_string(failures) + " unheard=" + std::to_string(unheard) + " detail=" + detail + " ageMs=5");
    }

    MadeLog& acknowledged(const std::string& seconds, const std::string& worker)
    {
        return add(seconds, "ends.acknowledged", "worker=" + worker + " detail=1 ageMs=0");
    }

    std::string file() const
    {
        std::ofstream { m_path } << m_text;
        return m_path;
    }

private:
    std::string m_path;
    std::string m_owner;
    std::string m_text;
};

ProgramRun explainLogs(const std::vector<std::string>& files, std::vector<std::string> options = {})
{
    std::vector<std::string> arguments { "explain", job };
    arguments.insert(arguments.end(), files.begin(), files.end());
    arguments.insert(arguments.end(), options.begin(), options.end());
    return runProgramWith(arguments);
}

bool has(const ProgramRun& run, const std::string& text) { return run.output.find(text) != std::string::npos; }

MadeLog firstOwnerOfCase1()
{
    MadeLog log { "edge-ros-c-2", 1 };
    log.ofJob("05.800000", "job.accepted", "q").ordered("05.880000", 1, "i-243dd5a6", 0);
    log.ended("06.150000", 1, "i-243dd5a6", 0, "failed").ordered("06.158000", 2, "i-e059b962", 1);
    log.acknowledged("06.215000", "i-243dd5a6").ended("06.980000", 2, "i-e059b962", 1, "failed");
    log.ordered("06.999000", 3, "i-f74de27b", 2).add("07.100000", "store.lost", "part=c1 detail=Read");
    return log;
}

MadeLog nextOwnerOfCase1()
{
    MadeLog log { "edge-ros-c-1", 2 };
    log.add("09.600000", "cell.taken", "jobs=1 workersUsed=3").ofJob("09.601000", "job.taken_over", "running");
    log.add("09.622000", "worker.heard", "worker=i-f74de27b detail=\"\" ageMs=22");
    log.ended("09.622000", 3, "i-f74de27b", 1, "failed");
    log.add("09.624000", "worker.heard", "worker=i-e059b962 detail=\"\" ageMs=24");
    log.ended("09.624000", 2, "i-e059b962", 2, "failed").ordered("09.645000", 1000001, "i-e059b962", 2);
    log.acknowledged("09.672000", "i-f74de27b").acknowledged("09.674000", "i-e059b962");
    log.ended("10.453000", 1000001, "i-e059b962", 2, "failed").acknowledged("10.500000", "i-e059b962");
    log.ofJob("10.500000", "job.ended", "failed");
    return log;
}

} // namespace

TEST(LogLine, ReadsBackWhatTheNodeWrites)
{
    const std::string detail = "lease \"a\\b\" = c\nhas run out";
    const auto line = rattanrack::cli::LogLine::parse("time=2026-12-04T08:00:01.250000 level=info "
        + rattanrack::formatLogLine("run.over", { { "detail", detail }, { "task", "" }, { "run", 1000001 } }));
    ASSERT_TRUE(line);
    EXPECT_EQ(line->event(), "run.over");
    EXPECT_EQ(line->text("detail"), detail);
    EXPECT_EQ(line->text("task"), "");
    EXPECT_EQ(line->number("run"), 1000001);
    EXPECT_EQ(line->time().time_since_epoch() % std::chrono::seconds { 1 }, std::chrono::milliseconds { 250 });
}

TEST(ExplainJob, TellsCase1OfTheIncidentInOrderOfTime)
{
    const auto run = explainLogs({ nextOwnerOfCase1().file(), firstOwnerOfCase1().file() });
    EXPECT_EQ(run.status, 0) << run.output;
    EXPECT_TRUE(has(run, "     0.080  edge-ros-c-2 orders the start of run 1 of 0.0.1 on i-243dd5a6 (")) << run.output;
    EXPECT_TRUE(has(run, "     3.845  edge-ros-c-1 orders the start of run 1000001 of 0.0.1 on i-e059b962 ("));
    EXPECT_LT(run.output.find("run 3 of"), run.output.find("edge-ros-c-2 no longer reaches the store"));
    EXPECT_LT(run.output.find("no longer reaches the store"), run.output.find("edge-ros-c-1 takes the cell"));
    EXPECT_TRUE(has(run, "starts 4, failures 4, changes of owner 1\n"));
    EXPECT_TRUE(has(run, "started by edge-ros-c-1 on 2 known failures, when 3 had been listed\n"));
    EXPECT_TRUE(has(run,
        "end of run 2 of 0.0.1 listed to edge-ros-c-2 (term 1) and never acknowledged by it, but by edge-ros-c-1 (term "
        "2)\n"));
}

TEST(ExplainJob, JobThatFitsHasNoMisfitsAndSaysSo)
{
    MadeLog log { "n1", 1 };
    log.ofJob("01.000000", "job.accepted", "q").ordered("01.100000", 1, "w1", 0).ended("02.000000", 1, "w1", 0, "done");
    log.ofJob("02.050000", "job.ended", "completed").acknowledged("02.060000", "w1");
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 0);
    EXPECT_TRUE(has(run, "starts 1, failures 0, changes of owner 0\nnothing that doesn't fit\n")) << run.output;
    EXPECT_TRUE(has(run, "     1.060  n1 has stored the ends listed by w1"));
}

TEST(ExplainJob, TwoRunsOfOneSubtaskOpenAtOnce)
{
    MadeLog log { "n1", 1 };
    log.ofJob("01.000000", "job.accepted", "q").ordered("01.100000", 1, "w1", 0).ordered("01.200000", 2, "w2", 0);
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 1);
    EXPECT_TRUE(has(run, "doesn't fit: runs 1 and 2 of 0.0.1 open at once\n")) << run.output;
}

TEST(ExplainJob, RunTakenForOverOrAdoptedIsNotASecondOne)
{
    MadeLog first { "n1", 1 };
    first.ofJob("01.000000", "job.accepted", "q").ordered("01.100000", 1, "w1", 0);
    MadeLog next { "n2", 2 };
    next.ofRun("03.000000", "run.adopted", 1, "w1", 0, 0, "wanted");
    next.ofRun("04.000000", "run.over", 1, "w1", 0, 0, "\"lease has run out\"").ordered("04.100000", 2, "w2", 0);
    const auto run = explainLogs({ first.file(), next.file() });
    EXPECT_EQ(run.status, 0) << run.output;
    EXPECT_TRUE(has(run, "n2 takes for over run 1 of 0.0.1 on w1: lease has run out (")) << run.output;
}

TEST(ExplainJob, StartAfterAListedDone)
{
    MadeLog log { "n1", 1 };
    log.ordered("01.100000", 1, "w1", 0).ended("02.000000", 1, "w1", 0, "done").acknowledged("02.010000", "w1");
    log.ordered("02.100000", 2, "w2", 0);
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 1);
    EXPECT_TRUE(has(run, "doesn't fit: run 2 of 0.0.1 started after the subtask was listed as done\n")) << run.output;
}

TEST(ExplainJob, StartByAReplacedOwnerAfterTheNextOneHasAdoptedTheRun)
{
    MadeLog first { "n1", 1 };
    first.ofJob("01.000000", "job.accepted", "q").ordered("01.100000", 1, "w1", 0);
    first.ofRun("03.500000", "run.over", 1, "w1", 0, 0, "\"lease expired\"").ordered("03.510000", 2, "w2", 0);
    first.add("03.600000", "cell.replaced", "confirmedMs=2200 starts=1 repeats=1");
    MadeLog next { "n2", 2 };
    next.ofRun("03.000000", "run.adopted", 1, "w1", 0, 0, "wanted");
    const auto run = explainLogs({ first.file(), next.file() });
    EXPECT_EQ(run.status, 1);
    EXPECT_TRUE(
        has(run, "doesn't fit: run 2 of 0.0.1 started by n1 (term 1) after n2 (term 2) had found or received run 1\n"))
        << run.output;
}

TEST(ExplainJob, StartOfAJobTakenOverWithWorkersUnheard)
{
    MadeLog log { "n2", 2 };
    log.ofJob("01.000000", "job.taken_over", "running").ordered("01.100000", 1000001, "w1", 0, 2);
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 1);
    EXPECT_TRUE(has(run, "started by n2 with 2 workers of earlier owners unheard\n")) << run.output;
}

TEST(ExplainJob, NewJobMayStartWithWorkersUnheard)
{
    MadeLog log { "n2", 2 };
    log.ofJob("01.000000", "job.accepted", "q").ordered("01.100000", 1, "w1", 0, 2);
    EXPECT_EQ(explainLogs({ log.file() }).status, 0);
}

TEST(ExplainJob, EndListedAndNeverAcknowledged)
{
    MadeLog log { "n1", 1 };
    log.ordered("01.100000", 1, "w1", 0).acknowledged("01.900000", "w1").ended("02.000000", 1, "w1", 0, "failed");
    log.acknowledged("02.010000", "w2");
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 1);
    EXPECT_TRUE(has(run, "doesn't fit: end of run 1 of 0.0.1 listed to n1 (term 1) and never acknowledged\n"))
        << run.output;
}

TEST(ExplainJob, LeavesOutOtherJobsAndWorkersAndCountsMalformedLines)
{
    MadeLog log { "n1", 1 };
    log.ofJob("01.000000", "job.accepted", "q").raw("half a li").raw("time=never event=job.ended job=" + job);
    log.raw("time=2026-12-04T08:00:01.500000 event=job.ended job=" + job + " detail=\"cut of");
    log.add("01.600000", "worker.silent", "worker=w9").add("01.700000", "job.ended", "job=other detail=failed");
    log.ordered("02.000000", 1, "w1", 0).add("02.100000", "worker.silent", "worker=w1");
    log.ofRun("03.000000", "run.over", 1, "w1", 0, 0, "gone");
    const auto run = explainLogs({ log.file() }, { "--json" });
    EXPECT_EQ(run.status, 0);
    EXPECT_EQ(run.json()["malformed"], 3);
    EXPECT_EQ(run.json()["lines"].size(), 4U) << run.output;
    EXPECT_EQ(run.json()["lines"][2]["event"], "worker.silent");
}

TEST(ExplainJob, SaysHowManyLinesTheNodeLeftOut)
{
    MadeLog log { "n1", 1 };
    log.ofJob("01.000000", "job.accepted", "q").ordered("02.000000", 1, "w1", 0);
    log.add("02.500000", "log.left_out", "kind=run.ended count=7").ended("03.000000", 1, "w1", 0, "done");
    log.acknowledged("03.100000", "w1");
    EXPECT_EQ(explainLogs({ log.file() }, { "--json" }).json()["leftOut"], 7);
}

TEST(ExplainJob, EndWhoseAcknowledgementMayHaveBeenLeftOutIsANote)
{
    MadeLog log { "n1", 1 };
    log.ordered("01.000000", 1, "w1", 0).ended("02.000000", 1, "w1", 0, "done");
    log.add("03.000000", "log.left_out", "kind=ends.acknowledged count=9").acknowledged("03.000000", "w2");
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 0);
    EXPECT_TRUE(has(run, "note: end of run 1 of 0.0.1 listed to n1 (term 1) and never acknowledged, or that line was"))
        << run.output;
}

TEST(ExplainJob, SaysWhatASubtaskWithoutARunWaitsFor)
{
    const std::string missing
        = "job=" + job + " task=0.0.1 run=0 worker=\"\" detail=\"no worker has room for it\" ageMs=";
    const std::string unanswered
        = "job=" + job + " task=0.0.1 run=3 worker=w1 detail=\"its start got no response\" ageMs=";
    MadeLog log { "n1", 1 };
    log.ofJob("01.000000", "job.accepted", "q").add("04.100000", "task.without_run", missing + "3050 workers=\"\"");
    log.add("07.100000", "task.without_run", missing + "6050 workers=\"draining 2, no room 5\"");
    log.add("10.100000", "task.without_run", unanswered + "9100 workers=\"\"");
    const auto run = explainLogs({ log.file() });
    EXPECT_EQ(run.status, 0) << run.output;
    EXPECT_TRUE(has(run, "     3.100  n1 has no active run of 0.0.1: no worker has room for it (")) << run.output;
    EXPECT_TRUE(has(run, "ageMs 6050, workers draining 2, no room 5)\n"));
    EXPECT_TRUE(has(run, "n1 has no active run of 0.0.1, run 3 on w1: its start got no response ("));
    EXPECT_TRUE(has(run, "note: 0.0.1 had no active run for 9.1 s: its start got no response\n"));
    EXPECT_TRUE(has(
        run, "note: 0.0.1 had no active run for 6.0 s: no worker has room for it (workers: draining 2, no room 5)\n"));
}

TEST(ExplainJob, NodeWithoutAStartLineIsNamedAfterItsFile)
{
    const std::string path = temporaryPath("late.log");
    std::ofstream { path } << "time=2026-12-04T08:00:01.000000 event=job.accepted cell=c1 term=1 job=" << job << "\n";
    const auto run = explainLogs({ path }, { "--json" });
    EXPECT_EQ(run.json()["lines"][0]["node"], "rattanrack-" + std::to_string(getpid()) + "-late");
}

TEST(ExplainJob, JobThatNoLineNamesAndLogThatCannotBeReadAreMisuse)
{
    MadeLog log { "n1", 1 };
    EXPECT_EQ(explainLogs({ log.file() }).status, 2);
    EXPECT_EQ(explainLogs({ "/nonexistent.log" }).status, 2);
}
