#include "rattanrack/node/pending_request.h"

#include <utility>

namespace rattanrack::node {

bool PendingRequest::bindDriver()
{
    const std::lock_guard lock(m_mutex);
    return !std::exchange(m_hasDriver, true);
}

std::optional<AttemptOrder> PendingRequest::unbindDriver()
{
    const std::lock_guard lock(m_mutex);
    m_hasDriver = false;
    return std::exchange(m_order, std::nullopt);
}

bool PendingRequest::offer(AttemptOrder order)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hasDriver)
            return false;
        m_order = std::move(order);
    }
    m_changed.notify_all();
    return true;
}

bool PendingRequest::conclude(Answer answer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_answer)
            return false;
        m_answer = std::move(answer);
    }
    m_changed.notify_all();
    return true;
}

PendingRequest::Step PendingRequest::nextStep(Deadline deadline, const Clock& clock)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, deadline.remaining(clock.now()), [this] { return m_order || m_answer; });
    if (m_order)
        return *std::exchange(m_order, std::nullopt);
    if (m_answer)
        return *m_answer;
    return StillWaiting {};
}

std::optional<Answer> PendingRequest::awaitAnswer(Deadline deadline, const Clock& clock)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, deadline.remaining(clock.now()), [this] { return m_answer.has_value(); });
    return m_answer;
}

std::optional<Answer> PendingRequest::answer() const
{
    const std::lock_guard lock(m_mutex);
    return m_answer;
}

} // namespace rattanrack::node
