#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::jobs {

/// Decides the processor share of the best-effort tasks on one worker from the tail latencies of the tasks that serve
/// requests on the same worker. Halves the share at once when a tail latency comes near its target, and raises it in
/// small steps once all tail latencies have stayed well below their targets, since the interference differs by image
/// and changes within seconds.
class BestEffortThrottle {
public:
    /// `worstTailRatio`: highest tail latency on the worker as a share of its target; 0 if no task serves requests
    /// there. Returns the percentage for the best-effort tasks from now on.
    int observe(double worstTailRatio, TimePoint now);

    int percent() const { return m_percent; }

private:
    int m_percent { 100 };
    TimePoint m_changedAt {};
    TimePoint m_nearTargetAt {};
};

} // namespace rattanrack::jobs
