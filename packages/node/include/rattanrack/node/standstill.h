#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::node {

/// Whether this node stood still so recently (paused, or without processor time) that what it knows of others is old.
/// The answer to a node that wakes up and takes everybody else for dead. For one thread.
class Standstill {
public:
    static constexpr Duration longestPause = std::chrono::milliseconds { 600 }; ///< Between ticks of a node that runs.
    static constexpr Duration listening
        = std::chrono::milliseconds { 1200 }; ///< Until all others have been heard again.

    void tick(TimePoint now)
    {
        if (m_lastTick != TimePoint {} && now - m_lastTick > longestPause)
            m_wokeAt = now;
        m_lastTick = now;
    }

    /// From the tick that followed a standstill on, until all others have been heard again.
    bool isViewOld(TimePoint now) const { return m_wokeAt != TimePoint {} && now - m_wokeAt < listening; }

private:
    TimePoint m_lastTick {};
    TimePoint m_wokeAt {};
};

} // namespace rattanrack::node
