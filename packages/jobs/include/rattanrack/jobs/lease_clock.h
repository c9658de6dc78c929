#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>

namespace rattanrack::jobs {

constexpr Duration takeoverSlack = std::chrono::milliseconds { 500 }; ///< Of a wait for what another node granted.
constexpr Duration maxInitialClock = std::chrono::seconds { 2 }; ///< A new life's clock shows less.

/// From a takeover on, a worker that the next owner has not heard may hold this long what the earlier one granted,
/// which goes on for `ownerTrust`: a later life of the worker reads a lease by an earlier clock as the longest.
Duration inheritedLease(Duration ownerTrust, Duration longestLease);

/// The clock of a worker's present life as seen from here, and the latest moments up to which anything that this node
/// has sent may hold a lease on the worker. A worker's clock may be slow by up to 2 %, never fast; a later life begins
/// with a new clock, to which a lease by an earlier one means the longest there is.
class LeaseClock {
public:
    /// The worker has answered in this life. What this node has sent before may have reached it, and until
    /// `foreignUntil` what earlier owners have.
    void beginIncarnation(std::int64_t incarnationUnixMs, Duration longestLease, TimePoint foreignUntil);
    bool isOfIncarnation(std::int64_t incarnationUnixMs) const { return m_bornUnixMs == incarnationUnixMs; }

    /// The present life's clock, from an answer that arrived at `now` to a question sent at `sentAt`.
    void observe(std::int64_t workerClockMs, TimePoint sentAt, TimePoint now);
    bool isKnown() const { return m_isKnown; }

    /// Whether an answer that tells this clock can be of no other life than the present one.
    bool isFromThisIncarnation(std::int64_t workerClockMs, TimePoint now) const;

    /// The end, on the worker's clock, of a lease that is `length` long from now. Notes the grant.
    std::int64_t grant(Duration length, TimePoint now);

    /// An order with a lease by the clock of the life that began at `bornUnixMs` is on its way no more: it has reached
    /// whatever life it reached, or is held up there.
    void recordDelivery(std::int64_t incarnationUnixMs, bool isAnswered, Duration longestLease, TimePoint now);

    /// From then on no grant of this node holds for what the present life is known to run.
    TimePoint leasesEndAt() const { return m_lapsedAt; }

    /// From then on no grant of this node holds on any life, be it a later one that is not known. `isLaterListed`:
    /// there is one.
    TimePoint leasesEndInAllIncarnationsAt(bool isLaterListed, Duration longestLease) const;

private:
    std::optional<std::int64_t> m_bornUnixMs;
    bool m_isKnown { false };
    std::int64_t m_clockMs { 0 };
    TimePoint m_askedAt {}; ///< The clock was read after this,
    TimePoint m_observedAt {}; ///< and before this.
    std::int64_t m_latestEndMs { 0 };
    TimePoint m_lapsedAt {};
    TimePoint m_deliveredBy {}; ///< Orders with a lease have been delivered by then,
    TimePoint m_carriedOutBy {}; ///< and carried out by then, if they were held up.
};

} // namespace rattanrack::jobs
