#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/jobs/cell_event.h"
#include "rattanrack/node/log_rate_limiter.h"

#include <string>

namespace rattanrack::node {

/// The log of what the cells of one node have decided or come to believe. Lines that come with every subtask are
/// bounded (starts, starts that came to nothing, ends `done`, acknowledgements); the first one after a gap follows
/// `event=log.left_out kind=... count=...`. All others are always written. For the control thread.
class CellLog {
public:
    explicit CellLog(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Writes the line of an event under the owner's `term`, unless it is left out; returns the event's name.
    std::string write(const PoolId& cell, jobs::Fence term, const jobs::CellEvent& event);

private:
    /// Null for events that are always written.
    LogRateLimiter* limiterFor(const jobs::CellEvent& event);

    const Clock& m_clock;
    LogRateLimiter m_starts;
    LogRateLimiter m_startsWithoutRun;
    LogRateLimiter m_endsDone;
    LogRateLimiter m_acknowledgements;
};

} // namespace rattanrack::node
