#include "step_tickets.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration longestMargin = 300ms; ///< A ticket is not used when less of its time is left.
constexpr int marginsInValidity = 3; ///< Short-lived tickets have a margin of one part of this many.
constexpr Duration retryDelay = 300ms; ///< After a request without an answer, and while there is nothing to ask.
constexpr Duration refusalValidity = 10s; ///< After this long the service is asked again about a worker not allowed.
constexpr std::size_t maxWorkersPerRequest = 30;

} // namespace

const std::map<WorkerId, std::string>& StepTickets::usableAt(TimePoint now)
{
    const auto isUsable = [&](const Answer& answer) { return !answer.ticket.empty() && now < answer.validUntil; };
    std::erase_if(m_usable, [&](const auto& each) {
        const auto answer = m_answers.find(each.first);
        return answer == m_answers.end() || !isUsable(answer->second) || answer->second.ticket != each.second;
    });
    for (const auto& [worker, answer] : m_answers) {
        if (isUsable(answer))
            m_usable.try_emplace(worker, answer.ticket);
    }
    return m_usable;
}

bool StepTickets::hasUsableAt(TimePoint now) const
{
    return std::any_of(m_answers.begin(), m_answers.end(), [&](const auto& each) {
        const Answer& answer = each.second;
        return !answer.ticket.empty() && now < answer.validUntil;
    });
}

bool StepTickets::isKnown(const WorkerDescription& worker, TimePoint now) const
{
    const auto found = m_answers.find(worker.id);
    if (found == m_answers.end() || found->second.incarnationUnixMs != worker.incarnationUnixMs)
        return false;
    return now < found->second.validUntil;
}

bool StepTickets::isRequestDue(TimePoint now) const
{
    const bool isNeeded = m_isShort || !hasUsableAt(now);
    return isNeeded && m_asked.empty() && now >= m_retryAt;
}

std::vector<WorkerId> StepTickets::nextRequest(std::vector<TicketCandidate> candidates, TimePoint now)
{
    const bool isRoomNeeded = hasUsableAt(now);
    std::erase_if(candidates,
        [&](const TicketCandidate& each) { return isKnown(*each.worker, now) || (isRoomNeeded && !each.hasRoom); });
    std::stable_partition(candidates.begin(), candidates.end(), [](const auto& each) { return each.hasRoom; });
    candidates.resize(std::min(candidates.size(), maxWorkersPerRequest));
    std::vector<WorkerId> workers;
    for (const TicketCandidate& each : candidates) {
        workers.push_back(each.worker->id);
        m_asked[each.worker->id] = each.worker->incarnationUnixMs;
    }
    m_isShort = false;
    if (workers.empty())
        m_retryAt = now + retryDelay;
    return workers;
}

void StepTickets::onResponse(const AdviceResponse& response, TimePoint now)
{
    const auto asked = std::exchange(m_asked, {});
    if (!response.isAnswered) {
        m_retryAt = now + retryDelay;
        return;
    }
    std::erase_if(m_answers, [&](const auto& each) { return now >= each.second.validUntil; });
    for (const auto& [worker, incarnationUnixMs] : asked)
        m_answers[worker] = { {}, incarnationUnixMs, now + refusalValidity };
    const Duration margin = std::min(longestMargin, response.validFor / marginsInValidity);
    for (const AdviceTicket& each : response.tickets) {
        Answer& answer = m_answers[each.worker];
        answer.ticket = each.ticket;
        answer.validUntil = now + response.validFor - margin;
    }
}

void StepTickets::remove(const WorkerId& worker) { m_answers.erase(worker); }

} // namespace rattanrack::jobs
