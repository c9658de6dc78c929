#include "rattanrack/node/attempt_runner.h"

#include <optional>

namespace rattanrack::node {

namespace {

using platform::AttemptReport;
using platform::AttemptState;
using platform::TaskOutcome;
using platform::TaskStatus;

constexpr Duration queryPause = std::chrono::milliseconds { 200 };

std::optional<AttemptReport> queryAttempt(platform::Worker& worker, const AttemptId& attempt)
{
    return valueOrNothing([&] { return worker.revoke(attempt); });
}

std::optional<TaskOutcome> outcomeOf(const AttemptReport& report)
{
    switch (report.state) {
    case AttemptState::Completed:
        return TaskOutcome { TaskStatus::Completed, report.output, "settled by asking the worker" };
    case AttemptState::Failed:
        return TaskOutcome { TaskStatus::Failed, report.output, "settled by asking the worker" };
    case AttemptState::Stopped:
        return TaskOutcome { TaskStatus::Stopped, report.output, "settled by asking the worker" };
    case AttemptState::Revoked:
        return TaskOutcome { TaskStatus::RefusedRevoked, {}, "revoked after its answer was lost" };
    case AttemptState::NeverSeen:
    case AttemptState::Running:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

TaskOutcome runAttempt(platform::Worker& worker, const platform::TaskOrder& order, Duration resolveTimeout,
    const Clock& clock, const std::function<void(Duration)>& pause)
{
    TaskOutcome outcome = worker.run(order);
    const Deadline resolveBy = Deadline::after(clock.now(), resolveTimeout);
    while (outcome.status == TaskStatus::Unknown) {
        if (const auto report = queryAttempt(worker, order.attempt)) {
            if (auto resolved = outcomeOf(*report))
                return *resolved;
        }
        if (resolveBy.hasPassed(clock.now()))
            return outcome;
        pause(queryPause);
    }
    return outcome;
}

Result<void> endAttempt(platform::Worker& worker, const AttemptId& attempt)
{
    // A stop alone would miss an attempt that is still in flight.
    BOOST_LEAF_AUTO(report, worker.revoke(attempt));
    if (report.state != AttemptState::Running)
        return {};
    return worker.stop(attempt, platform::StopMode::Stop);
}

} // namespace rattanrack::node
