#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>

namespace rattanrack::jobs {

/// Rate at which a cell works off its finite jobs while some of them wait, in declared work (millicore milliseconds) a
/// second. It answers overloads in which the pool's nominal capacity says little: workers that crash or are slow,
/// declared sizes that are far off, owners that cannot send starts fast enough. Pure. Not thread-safe.
class DrainRate {
public:
    /// Call at each scheduling pass. `isWorkWaiting`: something waits for a worker. `expected`: the rate that is
    /// assumed when work begins to wait after a pause.
    void advance(TimePoint now, bool isWorkWaiting, double expected);

    /// Jobs with this declared work have ended.
    void record(std::int64_t work) { m_work += static_cast<double>(work); }

    /// Empty: nothing waits. 0: work waits and none ends.
    std::optional<double> workPerSecond() const
    {
        return m_busySeconds > 0 ? std::optional { m_work / m_busySeconds } : std::nullopt;
    }

private:
    TimePoint m_advancedAt {};
    TimePoint m_lastWaitingAt {};
    double m_work { 0 }; ///< Ended while work waited; loses weight with time, as `m_busySeconds` does.
    double m_busySeconds { 0 };
};

} // namespace rattanrack::jobs
