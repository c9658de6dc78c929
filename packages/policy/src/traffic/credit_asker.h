#pragma once

#include "traffic/credit_holder.h"
#include "traffic/pool_queue.h"

namespace rattanrack::policy {

/// The time between two messages about a wait that has lasted so long: short waits are told at once, long ones rarely.
Duration messageInterval(Duration wait);

/// One node's side of the exchange with the home of a pool's credits: when to ask, what to accept and what to give
/// back.
class CreditAsker {
public:
    /// An empty `home` means that nobody grants credits.
    void setHome(const NodeId& home, std::uint64_t term, TimePoint now);
    const NodeId& home() const { return m_home; }
    std::uint64_t term() const { return m_term; }
    bool hasHome() const { return !m_home.isEmpty(); }

    /// Takes a grant into the holder. False when it is an old one.
    bool accept(const CreditGrant&, CreditHolder&, TimePoint now);

    /// Gives idle credits back that are wanted elsewhere, unless the own first request `head` (may be null) is ahead.
    void giveBack(CreditHolder&, const Request* head, TimePoint now);

    /// Gives all idle credits back unless requests wait here, for pools whose credits nobody keeps.
    void giveBackIdle(CreditHolder&, const Request* head);

    /// Whether to send a report now. `isBlocked`: requests wait here that no held credit serves.
    bool isDue(bool isBlocked, std::size_t waiting, const Request* head, TimePoint now);

    /// The report to send. `wide` is a request that waits for several credits of one worker; may be null.
    CreditAsk makeAsk(
        const PoolId&, const NodeId& self, const PoolQueue&, const CreditHolder&, const Request* wide, TimePoint now);

    /// When `isDue` may become true without an event.
    Deadline nextWake(bool isBlocked, std::size_t waiting, const Request* head, TimePoint now) const;

private:
    Duration intervalSinceAsk(bool isBlocked, std::size_t waiting, const Request* head, TimePoint now) const;
    bool isAhead(const Request& own, TimePoint now) const;

    NodeId m_home;
    std::uint64_t m_term { 0 };
    std::uint64_t m_asks { 0 };
    std::uint64_t m_lastGrant { 0 };
    TimePoint m_lastAsk {};
    std::size_t m_lastWaiting { 0 };
    bool m_mustReport { false };
    std::uint32_t m_wanted { 0 };
    Deadline m_wantedUntil {};
    Urgency m_firstUrgency { Urgency::Normal };
    TimePoint m_firstSince {};
};

} // namespace rattanrack::policy
