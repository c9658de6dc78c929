#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace rattanrack::jobs {

/// The work that callers hand in, as the processors that it would keep busy. It shows a flood while most of its work is
/// still ahead, and its end while a backlog is still being worked off. Pure; not thread-safe.
class OfferedLoad {
public:
    /// `room`: processors of the pool; one job alone, however large, is no flood.
    void record(Millicores size, Duration time, Millicores room, TimePoint now);

    Millicores rate(TimePoint now);

private:
    std::deque<std::pair<TimePoint, double>> m_recent; ///< Work in millicores times seconds.
    double m_sum { 0 };
};

} // namespace rattanrack::jobs
