#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::node {

/// Detects that this process was stalled (paused, or without processor time) so recently that its view of the other
/// nodes is stale. Without this check, a node that resumes would consider all other nodes dead. Not thread-safe.
class StallDetector {
public:
    /// Longest time between two ticks of a process that is not stalled.
    static constexpr Duration stallThreshold = std::chrono::milliseconds { 600 };
    /// Time until announcements of all other nodes have arrived again.
    static constexpr Duration recoveryTime = std::chrono::milliseconds { 1200 };

    void tick(TimePoint now)
    {
        if (m_lastTick != TimePoint {} && now - m_lastTick > stallThreshold)
            m_resumedAt = now;
        m_lastTick = now;
    }

    /// True from the first tick after a stall until announcements of all other nodes have arrived again.
    bool isViewStale(TimePoint now) const { return m_resumedAt != TimePoint {} && now - m_resumedAt < recoveryTime; }

private:
    TimePoint m_lastTick {};
    TimePoint m_resumedAt {};
};

} // namespace rattanrack::node
