#include "simulated_worker.h"

#include <utility>

namespace rattanrack::jobs::model {

namespace {

constexpr int fullShare = 100; ///< Percent.
constexpr double millicoresInUse = 10;

} // namespace

SimulatedWorker::SimulatedWorker(WorkerDescription description)
    : m_description(std::move(description))
{
}

void SimulatedWorker::start(const StartCommand& command, TimePoint endsAt)
{
    m_runs.push_back({ command.task, command.run, endsAt });
}

void SimulatedWorker::receive(PollCommand poll, TimePoint sentAt)
{
    m_poll = std::move(poll);
    m_pollSentAt = sentAt;
}

int SimulatedWorker::endRuns(TimePoint now)
{
    const auto ended = std::erase_if(m_runs, [&](const ActiveRun& active) {
        if (now < active.endsAt)
            return false;
        m_endedRuns.push_back({ ++m_lastSequence, active.task, active.run, RunOutcome::Done, {} });
        return true;
    });
    return static_cast<int>(ended);
}

std::optional<SimulatedWorker::AnsweredPoll> SimulatedWorker::answerPoll(TimePoint now, std::int64_t clockMs)
{
    if (!m_poll)
        return std::nullopt;
    const bool hasNewEndedRuns = m_lastSequence > m_listedThrough;
    if (!hasNewEndedRuns && now < m_pollSentAt + m_poll->longestWait)
        return std::nullopt;
    const std::int64_t acked = m_poll->ackedThrough;
    std::erase_if(m_endedRuns, [&](const EndedRun& end) { return end.sequence <= acked; });
    PollReport report { m_description.incarnationUnixMs, clockMs, {}, m_endedRuns, true };
    for (const ActiveRun& active : m_runs)
        report.running.push_back({ active.task, active.run, {}, fullShare, millicoresInUse });
    m_listedThrough = m_lastSequence;
    return AnsweredPoll { *std::exchange(m_poll, std::nullopt),
        { CommandStatus::Done, RefusalReason::None, std::move(report) }, m_pollSentAt };
}

} // namespace rattanrack::jobs::model
