#include "traffic/pool_queue.h"

namespace rattanrack::policy {

void PoolQueue::push(Request& request)
{
    auto& waiting = m_waiting[static_cast<std::size_t>(request.spec.urgency)];
    request.position = waiting.insert(waiting.end(), &request);
    ++m_size;
    m_bytes += request.spec.bytes;
}

void PoolQueue::remove(Request& request)
{
    m_waiting[static_cast<std::size_t>(request.spec.urgency)].erase(request.position);
    --m_size;
    m_bytes -= request.spec.bytes;
}

Request* PoolQueue::first() const
{
    for (const auto& waiting : m_waiting) {
        if (!waiting.empty())
            return waiting.front();
    }
    return nullptr;
}

} // namespace rattanrack::policy
