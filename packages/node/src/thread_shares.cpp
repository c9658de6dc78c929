#include "rattanrack/node/thread_shares.h"

#include <algorithm>
#include <utility>

namespace rattanrack::node {

ThreadShares::ThreadShares(std::size_t threads)
    : m_threads(threads)
{
}

void ThreadShares::setKinds(std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    m_kinds = std::max<std::size_t>(count, 1);
}

ThreadShares::Reservation ThreadShares::tryReserve(const WorkKind& kind)
{
    const std::lock_guard lock(m_mutex);
    // One share is left for status calls and fetches of earlier answers.
    const std::size_t fairShare = std::max<std::size_t>(m_threads / (m_kinds + 1), 1);
    const std::size_t reserve = m_threads / 4;
    const auto found = m_reservedPerKind.find(kind);
    const std::size_t reserved = found == m_reservedPerKind.end() ? 0 : found->second;
    const bool isBelowShare = reserved < fairShare && m_reservedThreads < m_threads;
    if (!isBelowShare && m_reservedThreads + reserve >= m_threads)
        return {};
    ++m_reservedThreads;
    ++m_reservedPerKind[kind];
    return Reservation { *this, kind };
}

void ThreadShares::release(const WorkKind& kind)
{
    const std::lock_guard lock(m_mutex);
    --m_reservedThreads;
    const auto found = m_reservedPerKind.find(kind);
    if (--found->second == 0)
        m_reservedPerKind.erase(found);
}

ThreadShares::Reservation::Reservation(ThreadShares& shares, WorkKind kind)
    : m_shares(&shares)
    , m_kind(std::move(kind))
{
}

ThreadShares::Reservation::Reservation(Reservation&& other) noexcept
    : m_shares(std::exchange(other.m_shares, nullptr))
    , m_kind(std::move(other.m_kind))
{
}

ThreadShares::Reservation::~Reservation()
{
    if (m_shares)
        m_shares->release(m_kind);
}

} // namespace rattanrack::node
