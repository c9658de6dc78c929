#include "rattanrack/node/request_history.h"

namespace rattanrack::node {

RequestHistory::RequestHistory(std::size_t maxFinished, std::uint64_t maxFinishedBytes)
    : m_maxFinished(maxFinished)
    , m_maxFinishedBytes(maxFinishedBytes)
{
}

std::shared_ptr<PendingRequest> RequestHistory::addOrFind(const std::shared_ptr<PendingRequest>& request)
{
    const std::lock_guard lock(m_mutex);
    const IdempotencyKey& key = request->request().key;
    if (!key.isEmpty()) {
        const auto known = m_byKey.find(key);
        if (known != m_byKey.end())
            return m_requests.at(known->second);
        m_byKey.emplace(key, request->request().spec.id);
    }
    m_requests.emplace(request->request().spec.id, request);
    return request;
}

std::shared_ptr<PendingRequest> RequestHistory::find(const RequestId& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

void RequestHistory::finish(const std::shared_ptr<PendingRequest>& request, Deadline expiresAt)
{
    const std::lock_guard lock(m_mutex);
    const auto answer = request->answer();
    const std::uint64_t bytes = request->request().payload.size() + (answer ? answer->output.size() : 0);
    m_finished.push_back({ request->request().spec.id, expiresAt, bytes });
    m_finishedBytes += bytes;
    while (m_finished.size() > m_maxFinished || m_finishedBytes > m_maxFinishedBytes)
        removeOldest();
}

void RequestHistory::releaseKey(const IdempotencyKey& key, const RequestId& holder)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_byKey.find(key);
    if (known != m_byKey.end() && known->second == holder)
        m_byKey.erase(known);
}

void RequestHistory::removeExpired(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    while (!m_finished.empty() && m_finished.front().expiresAt.hasPassed(now))
        removeOldest();
}

void RequestHistory::removeOldest()
{
    const Finished oldest = std::move(m_finished.front());
    m_finished.pop_front();
    m_finishedBytes -= oldest.bytes;
    const auto found = m_requests.find(oldest.id);
    if (found == m_requests.end())
        return;
    const auto known = m_byKey.find(found->second->request().key);
    if (known != m_byKey.end() && known->second == oldest.id)
        m_byKey.erase(known);
    m_requests.erase(found);
}

} // namespace rattanrack::node
