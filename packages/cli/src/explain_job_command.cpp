#include "commands.h"

#include "job_verdict.h"

#include <cstdio>

namespace rattanrack::cli {

namespace {

struct EventWords {
    std::string_view event;
    std::string_view words;
};

constexpr std::string_view withoutRun = "task.without_run";

constexpr EventWords eventWords[] {
    { "job.taken_over", "takes the job over, stored as" },
    { "job.accepted", "has accepted the job for queue" },
    { "job.ended", "has stored the job's last state:" },
    { "run.ordered", "orders the start of" },
    { "run.adopted", "finds at work" },
    { "run.stopping", "orders the stop of" },
    { "run.ended", "is told the end of" },
    { "run.over", "takes for over" },
    { "run.suspected", "suspects of a crash" },
    { "run.cleared", "clears of suspicion" },
    { "job.given_up", "gives the job up:" },
    { withoutRun, "has no active run of" },
    { "worker.heard", "hears for the first time from" },
    { "worker.not_heard", "waits no longer for" },
    { "worker.silent", "gets no answer from" },
    { "worker.back", "hears again from" },
    { "ends.acknowledged", "has stored the ends listed by" },
    { "cell.taken", "takes the cell" },
    { "cell.dropped", "drops the cell" },
    { "cell.replaced", "was replaced as the owner of the cell" },
    { "part.lost", "learns that another node has the cell" },
    { "store.lost", "no longer reaches the store" },
    { "store.regained", "reaches the store again" },
    { "log.left_out", "has left lines out of its log" },
};

std::string_view wordsOf(const LogLine& line)
{
    for (const EventWords& each : eventWords) {
        if (each.event == line.event())
            return each.words;
    }
    return line.event();
}

std::string fieldsOf(const LogLine& line)
{
    std::string text;
    for (const std::string_view key : { "cell", "part", "term", "failures", "unheard", "kind", "count", "ageMs",
             "confirmedMs", "overMs", "starts", "repeats", "workers" }) {
        if (!line.text(key).empty())
            text += (text.empty() ? "" : ", ") + std::string { key } + ' ' + std::string { line.text(key) };
    }
    return text.empty() ? text : " (" + text + ")";
}

std::string runPhrase(const LogLine& line)
{
    const std::string task { line.text("task") };
    const std::string run { line.text("run") };
    if (line.event() == withoutRun)
        return ' ' + task + (line.number("run") > 0 ? ", run " + run + " on" : ":");
    return run.empty() ? "" : " run " + run + " of " + task + " on";
}

std::string sentence(const StoryLine& each)
{
    std::string text = each.node + ' ' + std::string { wordsOf(each.line) } + runPhrase(each.line);
    for (const std::string_view key : { "worker", "detail" }) {
        if (!each.line.text(key).empty())
            text += (key == "detail" && !each.line.text("worker").empty() ? ": " : " ")
                + std::string { each.line.text(key) };
    }
    return text + fieldsOf(each.line);
}

double secondsSince(LogTime start, LogTime time) { return std::chrono::duration<double>(time - start).count(); }

std::string storyText(const JobStory& story)
{
    std::string text;
    for (const StoryLine& each : story.lines) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%10.3f  ", secondsSince(story.acceptedAt, each.line.time()));
        text += seconds + sentence(each) + '\n';
    }
    return text;
}

std::string verdictText(const JobStory& story, const JobVerdict& verdict)
{
    std::string text = "starts " + std::to_string(verdict.starts) + ", failures " + std::to_string(verdict.failures)
        + ", changes of owner " + std::to_string(verdict.ownerChanges) + '\n';
    if (story.malformed > 0)
        text += "malformed lines left out: " + std::to_string(story.malformed) + '\n';
    if (verdict.leftOut > 0)
        text += "lines that the nodes left out, any of which may be of this job: " + std::to_string(verdict.leftOut)
            + '\n';
    for (const std::string& remark : verdict.remarks)
        text += "note: " + remark + '\n';
    for (const std::string& misfit : verdict.misfits)
        text += "doesn't fit: " + misfit + '\n';
    return verdict.misfits.empty() ? text + "nothing that doesn't fit\n" : text;
}

nlohmann::json jsonOf(const JobStory& story, const JobVerdict& verdict)
{
    auto lines = nlohmann::json::array();
    for (const StoryLine& each : story.lines)
        lines.push_back({ { "seconds", secondsSince(story.acceptedAt, each.line.time()) }, { "node", each.node },
            { "event", each.line.event() }, { "text", sentence(each) } });
    return { { "lines", lines }, { "starts", verdict.starts }, { "failures", verdict.failures },
        { "ownerChanges", verdict.ownerChanges }, { "malformed", story.malformed }, { "leftOut", verdict.leftOut },
        { "remarks", verdict.remarks }, { "misfits", verdict.misfits } };
}

} // namespace

Result<Outcome> explainJob(Context& context)
{
    const std::string& job = context.invocation.target;
    std::vector<NodeLog> logs;
    for (const std::string& path : context.invocation.logs) {
        BOOST_LEAF_AUTO(log, readNodeLog(path, job));
        logs.push_back(std::move(log));
    }
    const JobStory story = storyOf(job, logs);
    if (story.lines.empty())
        return fail(ErrorCode::NotFound, "explain.job", {}, "no line names job " + job);
    const JobVerdict verdict = judge(story);
    const auto code = verdict.misfits.empty() ? ExitCode::Success : ExitCode::CheckFailed;
    return Outcome { code, storyText(story) + verdictText(story, verdict), jsonOf(story, verdict) };
}

} // namespace rattanrack::cli
