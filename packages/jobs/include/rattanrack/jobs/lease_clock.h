#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>

namespace rattanrack::jobs {

/// A worker's clock as seen from here, and the latest moment up to which anything on the worker may hold a lease. The
/// worker's clock may be slow by up to 2 %, never fast.
class LeaseClock {
public:
    /// An answer that told the worker's clock arrived at `now`. A clock that went back belongs to another life.
    void observe(std::int64_t workerClockMs, TimePoint now);
    bool isKnown() const { return m_isKnown; }

    /// The end, on the worker's clock, of a lease that is `length` long from now. Notes the grant.
    std::int64_t grant(Duration length, TimePoint now);

    /// From then on no grant of this node holds.
    TimePoint lapsedAt() const { return m_lapsedAt; }

    /// Forgets the clock, not the grants.
    void forgetClock() { m_isKnown = false; }

private:
    bool m_isKnown { false };
    std::int64_t m_clockMs { 0 };
    TimePoint m_observedAt {};
    std::int64_t m_latestEndMs { 0 };
    TimePoint m_lapsedAt {};
};

} // namespace rattanrack::jobs
