#include "traffic/request_table.h"

#include "rattanrack/base/invariant.h"

namespace rattanrack::policy {

void RequestTable::begin(TimePoint now)
{
    m_now = std::max(m_now, now);
    m_decisions.clear();
}

Request& RequestTable::add(const RequestSpec& spec)
{
    auto [entry, isNew] = m_requests.try_emplace(spec.id);
    auto& request = entry->second;
    checkInvariant(isNew, "requests.id_is_new", spec.id.value());
    request.spec = spec;
    request.arrived = m_now;
    request.wake = m_wakes.emplace(spec.deadline, &request);
    return request;
}

Request* RequestTable::find(const RequestId& id)
{
    auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

std::vector<Request*> RequestTable::waiting() const
{
    std::vector<Request*> requests;
    for (const auto& [wake, request] : m_wakes) {
        if (!request->isRunning())
            requests.push_back(request);
    }
    return requests;
}

void RequestTable::setWake(Request& request, Deadline wake)
{
    if (request.wake->first == wake)
        return;
    auto entry = m_wakes.extract(request.wake);
    entry.key() = wake;
    request.wake = m_wakes.insert(std::move(entry));
}

Request* RequestTable::nextDue()
{
    const bool isDue = !m_wakes.empty() && m_wakes.begin()->first.hasPassed(m_now);
    return isDue ? m_wakes.begin()->second : nullptr;
}

Deadline RequestTable::nextWake() const { return m_wakes.empty() ? Deadline::never() : m_wakes.begin()->first; }

void RequestTable::reject(Request& request, NotRunReason reason, Duration retryAfter)
{
    if (request.ranTo)
        return conclude(request, *request.ranTo);
    emit(RejectRequest { request.spec.id, reason, retryAfter });
    erase(request);
}

void RequestTable::conclude(Request& request, AttemptEnd end)
{
    emit(ConcludeRequest { request.spec.id, end });
    erase(request);
}

void RequestTable::erase(Request& request)
{
    m_wakes.erase(request.wake);
    const RequestId id = request.spec.id;
    m_requests.erase(id);
}

} // namespace rattanrack::policy
