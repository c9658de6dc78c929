#include "cell_state.h"

/// Starts on their way, and what became of those that began no run.
namespace rattanrack::jobs {

namespace {

std::string_view whyNotBegun(const CallAnswer& answer)
{
    switch (answer.status) {
    case CallStatus::Expired:
        return "start expired in our queue";
    case CallStatus::NotSent:
        return "start not sent";
    case CallStatus::Busy:
        return "start refused: unhealthy";
    case CallStatus::Malformed:
        return "start refused: malformed";
    default:
        break;
    }
    constexpr std::string_view refusals[] = { "start refused", "start refused: fence", "start refused: old",
        "start refused: late", "start refused: room", "start refused: ticket" };
    return refusals[static_cast<std::size_t>(answer.refusal)];
}

} // namespace

std::size_t Cell::ordersInFlight() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : m_state->workers) {
        for (const auto& [task, run] : worker.runs)
            count += run.isOrderOnItsWay ? 1 : 0;
    }
    return count;
}

void CellState::startFailed(Worker& worker, const StartOrder& order, Run& run, const CallAnswer& answer)
{
    if (run.mayComeLate || run.phase == RunPhase::Stopping) {
        sendStop(worker, order.task, order.run, "may come late");
        return;
    }
    runOver(worker, order.task, whyNotBegun(answer), RunEvent::Kind::NotBegun);
}

} // namespace rattanrack::jobs
