#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::node {

/// Whether this node stood still so recently (paused, or without processor time) that what it knows of others is old.
/// The answer to a node that wakes up and takes everybody else for dead. For one thread.
class StallDetector {
public:
    static constexpr Duration stallThreshold
        = std::chrono::milliseconds { 600 }; ///< Between ticks of a node that runs.
    static constexpr Duration recoveryTime
        = std::chrono::milliseconds { 1200 }; ///< Until all others have been heard again.

    void tick(TimePoint now)
    {
        if (m_lastTick != TimePoint {} && now - m_lastTick > stallThreshold)
            m_resumedAt = now;
        m_lastTick = now;
    }

    /// From the tick that followed a standstill on, until all others have been heard again.
    bool isViewStale(TimePoint now) const { return m_resumedAt != TimePoint {} && now - m_resumedAt < recoveryTime; }

private:
    TimePoint m_lastTick {};
    TimePoint m_resumedAt {};
};

} // namespace rattanrack::node
