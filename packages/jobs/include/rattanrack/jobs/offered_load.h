#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace rattanrack::jobs {

/// Rate at which callers submit work, as the processors that the work would keep busy. It shows an overload while most
/// of the overload's work is still waiting, and its end while the backlog is still being processed. Performs no I/O and
/// reads no clock. Not thread-safe.
class OfferedLoad {
public:
    /// Records an accepted job. `capacity`: processors of the pool, which bounds what one job counts for, since a
    /// single job is no overload, however large it is.
    void record(Millicores size, Duration time, Millicores capacity, TimePoint now);

    Millicores rate(TimePoint now);

private:
    std::deque<std::pair<TimePoint, double>> m_recent; ///< Work in millicore seconds.
    double m_recentWork { 0 };
};

} // namespace rattanrack::jobs
