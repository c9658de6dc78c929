#include "traffic/credit_asker.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr Duration minInterval { 500 };
constexpr Duration maxInterval { 50'000 };
constexpr Duration repeatInterval { 100'000 };
constexpr Duration reportInterval { 15'000'000 };
constexpr int intervalsOfNotice = 12;
constexpr int intervalsPerWait = 10;
constexpr Duration aheadTolerance { 5'000 };

} // namespace

Duration messageInterval(Duration wait) { return std::clamp(wait / intervalsPerWait, minInterval, maxInterval); }

void CreditAsker::setHome(const NodeId& home, std::uint64_t term, TimePoint now)
{
    if (home == m_home && term == m_term)
        return;
    m_home = home;
    m_term = term;
    m_lastGrant = 0;
    m_wanted = 0;
    m_mustReport = hasHome();
    m_lastAsk = now - minInterval;
}

bool CreditAsker::accept(const CreditGrant& grant, CreditHolder& holder, TimePoint now)
{
    if (!hasHome() || grant.term < m_term || grant.number <= m_lastGrant)
        return false;
    if (grant.term > m_term)
        return false;
    m_lastGrant = grant.number;
    holder.add(grant.granted);
    holder.takeBack(grant.recalled);
    m_mustReport |= !grant.recalled.empty();
    m_wanted = grant.wanted;
    m_wantedUntil = Deadline::after(now, messageInterval(grant.firstWait) * intervalsOfNotice);
    m_firstUrgency = grant.firstUrgency;
    m_firstSince = now - grant.firstWait;
    return true;
}

void CreditAsker::giveBack(CreditHolder& holder, const Request* head, TimePoint now)
{
    if (!hasHome() || m_wanted == 0 || holder.idle() == 0 || m_wantedUntil.hasPassed(now))
        return;
    if (head && isAhead(*head, now))
        return;
    const std::uint32_t given = holder.giveUp(m_wanted);
    m_wanted -= given;
    m_mustReport |= given > 0;
}

void CreditAsker::giveBackIdle(CreditHolder& holder, const Request* head)
{
    if (!hasHome() || head || holder.idle() == 0)
        return;
    holder.giveUp(holder.idle());
    m_mustReport = true;
}

bool CreditAsker::isDue(bool isBlocked, std::size_t waiting, const Request* head, TimePoint now)
{
    m_lastWaiting = isBlocked ? std::min(m_lastWaiting, waiting) : 0;
    return nextWake(isBlocked, waiting, head, now).hasPassed(now);
}

CreditAsk CreditAsker::makeAsk(const PoolId& pool, const NodeId& self, const PoolQueue& queue,
    const CreditHolder& holder, const Request* wide, TimePoint now)
{
    CreditAsk ask { .pool = pool, .from = self };
    ask.urgentWaiting = queue.waiting(Urgency::Urgent);
    ask.normalWaiting = queue.waiting(Urgency::Normal);
    ask.backgroundWaiting = queue.waiting(Urgency::Background);
    if (const auto* head = queue.head())
        ask.oldestWait = now - head->arrived;
    ask.idle = holder.idleCredits();
    ask.inUse = holder.inUseCredits();
    ask.number = ++m_asks;
    ask.lastGrant = m_lastGrant;
    if (wide) {
        ask.firstSize = wide->size;
        ask.firstCredits = wide->credits;
    }
    m_lastAsk = now;
    m_lastWaiting = queue.size();
    m_mustReport = false;
    return ask;
}

Deadline CreditAsker::nextWake(bool isBlocked, std::size_t waiting, const Request* head, TimePoint now) const
{
    if (!hasHome())
        return Deadline::never();
    return Deadline::after(m_lastAsk, intervalSinceAsk(isBlocked, waiting, head, now));
}

Duration CreditAsker::intervalSinceAsk(bool isBlocked, std::size_t waiting, const Request* head, TimePoint now) const
{
    if (m_mustReport)
        return minInterval;
    if (!isBlocked)
        return reportInterval;
    if (waiting <= m_lastWaiting)
        return repeatInterval;
    return messageInterval(head ? now - head->arrived : Duration::zero());
}

bool CreditAsker::isAhead(const Request& own, TimePoint now) const
{
    if (own.spec.urgency != m_firstUrgency)
        return own.spec.urgency < m_firstUrgency;
    return own.arrived <= m_firstSince + aheadTolerance + (now - m_firstSince) / intervalsPerWait;
}

} // namespace rattanrack::policy
