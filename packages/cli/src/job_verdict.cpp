#include "job_verdict.h"

#include <algorithm>
#include <map>
#include <set>

namespace rattanrack::cli {

namespace {

using Run = std::pair<std::string, std::int64_t>; ///< Subtask and number of the run.

std::string describe(const Run& run) { return "run " + std::to_string(run.second) + " of " + run.first; }

struct ListedEnd {
    Run run;
    std::string node;
    std::string worker;
    std::int64_t term { 0 };
    bool isAcknowledged { false };
};

/// The owner of the latest term that has found a run of a subtask at work or has received its end.
struct OwnerOfRun {
    std::string node;
    std::int64_t term { 0 };
    std::int64_t run { 0 };
};

/// A reason for which a subtask had no active run.
struct Wait {
    std::int64_t longestMs { 0 };
    std::string workers; ///< Which workers were ruled out, as last reported.
};

std::string inSeconds(std::int64_t milliseconds)
{
    constexpr std::int64_t perTenth = 100;
    const std::int64_t tenths = milliseconds / perTenth;
    return std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10) + " s";
}

struct WaitKey {
    std::string subtask;
    std::string reason;

    friend auto operator<=>(const WaitKey&, const WaitKey&) = default;
};

class Judge {
public:
    JobVerdict judge(const JobStory& story)
    {
        for (const StoryLine& each : story.lines)
            take(each);
        judgeEnds();
        describeWaits();
        m_verdict.failures = m_failed.size();
        return std::move(m_verdict);
    }

private:
    using Handler = void (Judge::*)(const StoryLine&, const Run&);
    struct EventHandler {
        std::string_view event;
        Handler handler;
    };

    void take(const StoryLine& each)
    {
        static constexpr EventHandler s_handlers[] {
            { "job.taken_over", &Judge::takenOver },
            { "run.ordered", &Judge::ordered },
            { "run.adopted", &Judge::adopted },
            { "run.ended", &Judge::ended },
            { "run.over", &Judge::over },
            { "ends.acknowledged", &Judge::acknowledged },
            { "task.without_run", &Judge::waited },
            { "log.left_out", &Judge::leftOut },
        };
        noteTerm(each.line.number("term"));
        const Run run { each.line.text("task"), each.line.number("run") };
        for (const EventHandler& handler : s_handlers) {
            if (handler.event == each.line.event())
                (this->*handler.handler)(each, run);
        }
    }

    void noteTerm(std::int64_t term)
    {
        if (term <= m_term)
            return;
        if (m_term > 0)
            ++m_verdict.ownerChanges;
        m_term = term;
    }

    void takenOver(const StoryLine& each, const Run&) { m_termsTakenOver.insert(each.line.number("term")); }

    void ordered(const StoryLine& each, const Run& run)
    {
        ++m_verdict.starts;
        const std::int64_t unheard = each.line.number("unheard");
        if (m_done.contains(run.first))
            m_verdict.misfits.push_back(describe(run) + " started after the subtask was listed as done");
        if (unheard > 0 && m_termsTakenOver.contains(each.line.number("term")))
            m_verdict.misfits.push_back(describe(run) + " started by " + each.node + " with " + std::to_string(unheard)
                + " workers of earlier owners unheard");
        noteFailuresNotCounted(each, run);
        noteLaterOwner(each, run);
        opened(each, run);
    }

    /// A replaced owner must not start a task whose earlier run a later owner has dealt with.
    void noteLaterOwner(const StoryLine& each, const Run& run)
    {
        const auto later = m_latestOwners.find(run.first);
        const std::int64_t term = each.line.number("term");
        if (later == m_latestOwners.end() || later->second.term <= term)
            return;
        m_verdict.misfits.push_back(describe(run) + " started by " + each.node + " (term " + std::to_string(term)
            + ") after " + later->second.node + " (term " + std::to_string(later->second.term)
            + ") had found or received run " + std::to_string(later->second.run));
    }

    void noteOwner(const StoryLine& each, const Run& run)
    {
        OwnerOfRun& latest = m_latestOwners[run.first];
        if (each.line.number("term") >= latest.term)
            latest = { each.node, each.line.number("term"), run.second };
    }

    void adopted(const StoryLine& each, const Run& run)
    {
        noteOwner(each, run);
        opened(each, run);
    }

    /// A remark only: a gang counts its failures at its first subtask, and a lasting step counts none.
    void noteFailuresNotCounted(const StoryLine& each, const Run& run)
    {
        const auto listed = std::count_if(
            m_failed.begin(), m_failed.end(), [&](const Run& failed) { return failed.first == run.first; });
        if (listed > each.line.number("failures"))
            m_verdict.remarks.push_back(describe(run) + " started by " + each.node + " on "
                + std::string { each.line.text("failures") } + " known failures, when " + std::to_string(listed)
                + " had been listed");
    }

    void opened(const StoryLine&, const Run& run)
    {
        if (m_closed.contains(run))
            return; // The worker still listed it to an owner that had not heard its end.
        auto& open = m_open[run.first];
        if (!open.insert(run.second).second || open.size() < 2)
            return;
        std::string numbers;
        for (const std::int64_t number : open)
            numbers += (numbers.empty() ? "" : " and ") + std::to_string(number);
        m_verdict.misfits.push_back("runs " + numbers + " of " + run.first + " open at once");
    }

    void closed(const Run& run)
    {
        m_closed.insert(run);
        m_open[run.first].erase(run.second);
    }

    void ended(const StoryLine& each, const Run& run)
    {
        closed(run);
        noteOwner(each, run);
        if (each.line.text("detail") == "failed")
            m_failed.insert(run);
        if (each.line.text("detail") == "done")
            m_done.insert(run.first);
        m_ends.push_back({ run, each.node, std::string { each.line.text("worker") }, each.line.number("term") });
    }

    void over(const StoryLine&, const Run& run) { closed(run); }

    void acknowledged(const StoryLine& each, const Run&)
    {
        for (ListedEnd& end : m_ends) {
            if (end.node == each.node && end.term == each.line.number("term") && end.worker == each.line.text("worker"))
                end.isAcknowledged = true;
        }
    }

    void leftOut(const StoryLine& each, const Run&)
    {
        m_verdict.leftOut += each.line.number("count");
        if (each.line.text("kind") == "ends.acknowledged")
            m_nodesWithGaps.insert(each.node);
    }

    void waited(const StoryLine& each, const Run& run)
    {
        Wait& wait = m_waits[{ run.first, std::string { each.line.text("detail") } }];
        wait.longestMs = std::max(wait.longestMs, each.line.number("ageMs"));
        wait.workers = each.line.text("workers");
    }

    void describeWaits()
    {
        for (const auto& [key, wait] : m_waits)
            m_verdict.remarks.push_back(key.subtask + " had no active run for " + inSeconds(wait.longestMs) + ": "
                + key.reason + (wait.workers.empty() ? "" : " (workers: " + wait.workers + ")"));
    }

    void judgeEnds()
    {
        for (const ListedEnd& end : m_ends) {
            if (end.isAcknowledged)
                continue;
            const std::string listed = "end of " + describe(end.run) + " listed to " + end.node + " (term "
                + std::to_string(end.term) + ") and never acknowledged";
            const auto elsewhere = std::find_if(m_ends.begin(), m_ends.end(), [&](const ListedEnd& other) {
                return other.run == end.run && other.worker == end.worker && other.isAcknowledged;
            });
            if (elsewhere == m_ends.end() && m_nodesWithGaps.contains(end.node))
                m_verdict.remarks.push_back(listed + ", or that line was left out");
            else if (elsewhere == m_ends.end())
                m_verdict.misfits.push_back(listed);
            else
                m_verdict.remarks.push_back(
                    listed + " by it, but by " + elsewhere->node + " (term " + std::to_string(elsewhere->term) + ")");
        }
    }

    JobVerdict m_verdict;
    std::int64_t m_term { 0 };
    std::set<std::int64_t> m_termsTakenOver;
    std::map<std::string, std::set<std::int64_t>> m_open;
    std::map<std::string, OwnerOfRun> m_latestOwners; ///< By subtask.
    std::set<Run> m_closed;
    std::set<Run> m_failed;
    std::set<std::string> m_done;
    std::set<std::string> m_nodesWithGaps; ///< They have left acknowledgements out.
    std::vector<ListedEnd> m_ends;
    std::map<WaitKey, Wait> m_waits;
};

} // namespace

JobVerdict judge(const JobStory& story) { return Judge {}.judge(story); }

} // namespace rattanrack::cli
