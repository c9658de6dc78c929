#include "job_story.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <tuple>

namespace rattanrack::cli {

namespace {

constexpr std::array<std::string_view, 6> cellEvents { "cell.taken", "cell.dropped", "cell.replaced", "part.lost",
    "store.lost", "store.regained" };
constexpr std::array<std::string_view, 4> workerEvents { "worker.heard", "worker.not_heard", "worker.silent",
    "worker.back" };
constexpr std::string_view acknowledgement = "ends.acknowledged";
constexpr std::string_view leftOut = "log.left_out";

template <typename Names> bool isAmong(const Names& names, const LogLine& line)
{
    return std::find(names.begin(), names.end(), line.event()) != names.end();
}

/// The node and, with it, what it would end by acknowledging.
using OpenEnd = std::tuple<std::string, std::string, std::string>;

bool isBefore(const StoryLine& left, const StoryLine& right) { return left.line.time() < right.line.time(); }

std::string_view cellOf(const LogLine& line)
{
    const std::string_view cell = line.text("cell");
    return cell.empty() ? line.text("part") : cell;
}

/// Chooses the lines of a story, which it must be shown in the order of time.
class LineSelection {
public:
    LineSelection(const std::string& job, const std::vector<StoryLine>& all)
        : m_job(job)
    {
        for (const StoryLine& each : all) {
            if (each.line.text("job") == job)
                learn(each);
        }
    }

    bool isEmpty() const { return m_nodes.empty(); }

    bool wants(const StoryLine& each)
    {
        if (each.line.text("job") == m_job) {
            if (each.line.event() == "run.ended")
                m_openEnds.insert(openEnd(each));
            return true;
        }
        if (each.line.event() == acknowledgement)
            return m_openEnds.erase(openEnd(each)) > 0;
        return (isBetween(each.line) || isGapInAcknowledgements(each)) && isContext(each);
    }

private:
    void learn(const StoryLine& each)
    {
        if (isEmpty())
            m_first = each.line.time();
        m_last = each.line.time();
        m_nodes.insert(each.node);
        m_cells.emplace(each.line.text("cell"));
        if (!each.line.text("worker").empty())
            m_workers.emplace(each.line.text("worker"));
    }

    bool isBetween(const LogLine& line) const { return line.time() >= m_first && line.time() <= m_last; }

    /// An open end may have been acknowledged by a line that was left out.
    bool isGapInAcknowledgements(const StoryLine& each) const
    {
        if (each.line.event() != leftOut || each.line.text("kind") != acknowledgement)
            return false;
        return std::any_of(
            m_openEnds.begin(), m_openEnds.end(), [&](const OpenEnd& end) { return std::get<0>(end) == each.node; });
    }

    bool isContext(const StoryLine& each) const
    {
        if (each.line.event() == leftOut)
            return m_nodes.contains(each.node);
        if (!m_cells.contains(std::string { cellOf(each.line) }))
            return false;
        return isAmong(cellEvents, each.line)
            || (isAmong(workerEvents, each.line) && m_workers.contains(std::string { each.line.text("worker") }));
    }

    static OpenEnd openEnd(const StoryLine& each)
    {
        return { each.node, std::string { each.line.text("term") }, std::string { each.line.text("worker") } };
    }

    std::string m_job;
    LogTime m_first {};
    LogTime m_last {};
    std::set<std::string> m_nodes;
    std::set<std::string> m_cells;
    std::set<std::string> m_workers;
    std::set<OpenEnd> m_openEnds;
};

LogTime acceptanceIn(const std::vector<StoryLine>& lines, const std::string& job)
{
    for (const StoryLine& each : lines) {
        if (each.line.event() == "job.accepted" && each.line.text("job") == job)
            return each.line.time();
    }
    for (const StoryLine& each : lines) {
        const bool isOfJob = each.line.event().starts_with("job.") && each.line.text("job") == job;
        if (isOfJob && each.line.number("ageMs") > 0)
            return each.line.time() - std::chrono::milliseconds { each.line.number("ageMs") };
    }
    return lines.empty() ? LogTime {} : lines.front().line.time();
}

bool mayConcern(const LogLine& line, const std::string& job)
{
    return line.text("job") == job || line.event() == acknowledgement || line.event() == leftOut
        || isAmong(cellEvents, line) || isAmong(workerEvents, line);
}

} // namespace

Result<NodeLog> readNodeLog(const std::string& path, const std::string& job)
{
    std::ifstream file { path };
    if (!file)
        return fail(ErrorCode::NotFound, "explain.log", path, "cannot be read");
    NodeLog log { std::filesystem::path { path }.stem().string(), {}, 0 };
    for (std::string text; std::getline(file, text);) {
        auto line = LogLine::parse(text);
        if (!line)
            ++log.malformed;
        else if (line->event() == "node.started" && !line->text("node").empty())
            log.node = line->text("node");
        else if (mayConcern(*line, job))
            log.lines.push_back(*std::move(line));
    }
    return log;
}

JobStory storyOf(const std::string& job, const std::vector<NodeLog>& logs)
{
    JobStory story;
    std::vector<StoryLine> all;
    for (const NodeLog& log : logs) {
        story.malformed += log.malformed;
        for (const LogLine& line : log.lines)
            all.push_back({ log.node, line });
    }
    std::stable_sort(all.begin(), all.end(), isBefore);
    LineSelection selection { job, all };
    if (selection.isEmpty())
        return story;
    std::copy_if(all.begin(), all.end(), std::back_inserter(story.lines),
        [&](const StoryLine& each) { return selection.wants(each); });
    story.acceptedAt = acceptanceIn(story.lines, job);
    return story;
}

} // namespace rattanrack::cli
