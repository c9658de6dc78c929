#pragma once

#include "job_entry.h"

#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

/// Steps that are ready to run, trials of suspected tasks, and the order in which both start.
namespace rattanrack::jobs {

/// Order of ready steps in an overload: jobs that can still be on time go before those that can't, started jobs are
/// finished first, and among the rest small jobs go first, which serves the most callers with what is scarce: those
/// with the least work where the workers' capacity is, those with the fewest tasks where the owner can't send more
/// starts.
enum class Rank : std::uint8_t {
    LongRunning,
    Started,
    OnTime,
    Late,
    NoValue,
    BeyondWeight, ///< Not started, and submitted beyond the weight of its customer: waits behind what lies within.
};

/// A step that is ready to run.
struct ReadyStep {
    JobEntry* entry { nullptr };
    int occurrence { 0 };
    int step { 0 };
    Rank rank { Rank::OnTime };
    int priority { 0 };
    std::int64_t sortKey { 0 }; ///< Order within the rank: declared work, number of tasks, or time due.

    const Step& spec() const { return entry->job.spec.steps[static_cast<std::size_t>(step)]; }
    /// What starts first. Ids break ties between jobs.
    friend bool operator<(const ReadyStep& left, const ReadyStep& right)
    {
        if (left.rank != right.rank)
            return left.rank < right.rank;
        if (left.priority != right.priority)
            return left.priority < right.priority;
        if (left.sortKey != right.sortKey)
            return left.sortKey < right.sortKey;
        const Job& leftJob = left.entry->job;
        const Job& rightJob = right.entry->job;
        if (leftJob.acceptedAtUnixMs != rightJob.acceptedAtUnixMs)
            return leftJob.acceptedAtUnixMs < rightJob.acceptedAtUnixMs;
        if (left.entry != right.entry)
            return leftJob.id < rightJob.id;
        return std::pair { left.occurrence, left.step } < std::pair { right.occurrence, right.step };
    }
};

/// Suspected tasks of one step that may start, on a worker where nothing else has just started.
struct Trial {
    ReadyStep ready;
    std::vector<int> tasks; ///< Their indexes in the step.
    bool isLikelyCause { false }; ///< A task has lost a worker on which no other job had just started.
    std::size_t losses { 0 }; ///< Workers that were lost soon after a start, of the task with most.
    TimePoint lostAt {}; ///< The latest of these.

    bool isOf(const JobEntry& other, const TaskRef& task) const;
    void add(const Task& task, int index);

    /// What is least likely to crash a worker goes first, as it costs the least.
    friend bool operator<(const Trial& left, const Trial& right)
    {
        const auto key = [](const Trial& each) { return std::tuple { each.isLikelyCause, each.losses, each.lostAt }; };
        const auto leftKey = key(left);
        const auto rightKey = key(right);
        return leftKey != rightKey ? leftKey < rightKey : left.ready < right.ready;
    }
};

} // namespace rattanrack::jobs
