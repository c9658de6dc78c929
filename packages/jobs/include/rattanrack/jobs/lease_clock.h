#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>

namespace rattanrack::jobs {

/// Margin of a wait for leases that another node granted.
constexpr Duration takeoverSlack = std::chrono::milliseconds { 500 };
constexpr Duration maxInitialClock = std::chrono::seconds { 2 }; ///< The clock of a new incarnation starts below this.

/// Longest time after a takeover for which runs on a worker that the new owner has not contacted may hold leases of the
/// previous owner. The previous owner goes on granting leases of `leaseLength` for up to `ownershipTimeout`. It starts
/// runs in an incarnation only once leases by the clock of an earlier one have ended there.
Duration inheritedLease(Duration ownershipTimeout, Duration leaseLength);

/// Estimates the clock of a worker's current incarnation, and the latest times up to which the worker may hold leases
/// that this node granted. A worker's clock may be slow by up to 2 %, but is never fast. Each incarnation starts with a
/// new clock, and treats a lease by an earlier incarnation's clock as one of the longest length.
class LeaseClock {
public:
    /// The worker has responded in this incarnation. The incarnation may have received leases that this node sent
    /// before without binding them, and those that previous owners sent until `inheritedUntil`.
    void beginIncarnation(std::int64_t incarnationUnixMs, Duration longestLease, TimePoint inheritedUntil);
    bool isOfIncarnation(std::int64_t incarnationUnixMs) const { return m_incarnationUnixMs == incarnationUnixMs; }

    /// Previous owners may have granted leases of this length to the current incarnation until `until`.
    void inherit(TimePoint until, Duration length);

    /// When all leases that may have reached a later incarnation than the one they are meant for have ended.
    TimePoint unboundLeasesEndAt(Duration longestLease) const;

    /// Records the clock of the current incarnation, from a response that arrived at `now` to a poll sent at `sentAt`.
    void observe(std::int64_t workerClockMs, TimePoint sentAt, TimePoint now);
    bool isKnown() const { return m_isKnown; }

    /// Whether a response with this clock can only come from the current incarnation.
    bool isFromThisIncarnation(std::int64_t workerClockMs, TimePoint now) const;

    /// Returns the end, on the worker's clock, of a lease that lasts `length` from now, and records the grant.
    std::int64_t grant(Duration length, TimePoint now);

    /// A command with a lease by the clock of the given incarnation is no longer in flight: some incarnation has
    /// received it, or, if it got no response, may yet carry it out late.
    void recordDelivery(std::int64_t incarnationUnixMs, bool isAnswered, Duration longestLease, TimePoint now);

    /// When all leases that this node granted have ended for runs that the current incarnation is known to have.
    TimePoint leasesEndAt() const { return m_leasesEndAt; }

    /// When all leases that this node granted have ended in every incarnation, including a later one that is not known
    /// here. `isLaterListed`: the list of workers shows a later one.
    TimePoint leasesEndInAllIncarnationsAt(bool isLaterListed, Duration longestLease) const;

private:
    std::optional<std::int64_t> m_incarnationUnixMs;
    bool m_isKnown { false };
    std::int64_t m_clockMs { 0 };
    TimePoint m_pollSentAt {}; ///< The clock was read after this time.
    TimePoint m_observedAt {}; ///< The clock was read before this time.
    std::int64_t m_latestEndMs { 0 };
    TimePoint m_leasesEndAt {};
    TimePoint m_deliveredBy {}; ///< Leases that were not bound to an incarnation were delivered by then.
    TimePoint m_carriedOutBy {}; ///< Those that were delayed are carried out by then.
};

} // namespace rattanrack::jobs
