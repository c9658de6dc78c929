#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::jobs {

/// Decides the share at which the fillers of one worker run, from the tail latencies of what serves beside them. Halves
/// at once when a tail comes near its target, and grows in small steps once all have stayed well below: the answer to a
/// disturbance that differs by image and changes within seconds.
class BestEffortThrottle {
public:
    /// `worstTail` is the highest tail latency on the worker as a share of its target; 0 when nothing serves there.
    /// Returns the percentage for the fillers from now on.
    int observe(double worstTail, TimePoint now);

    int percent() const { return m_percent; }

private:
    int m_percent { 100 };
    TimePoint m_changedAt {};
    TimePoint m_highAt {};
};

} // namespace rattanrack::jobs
