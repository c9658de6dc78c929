#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/jobs/cell_event.h"
#include "rattanrack/node/log_rate_limiter.h"

#include <string>

namespace rattanrack::node {

/// Logs the events of the cells of one node. Lines that are written for every task are limited in rate (starts, starts
/// that did not take place, runs that ended as `done`, acknowledgements); the first line after a gap follows a line
/// `event=log.left_out kind=... count=...`. All other lines are always written. Control thread only.
class CellLog {
public:
    explicit CellLog(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Writes the line of an event under the owner's `term`, unless the line is suppressed. Returns the event's name.
    std::string write(const PoolId& cell, jobs::Fence term, const jobs::CellEvent& event);

private:
    /// Returns null for events that are always written.
    LogRateLimiter* limiterFor(const jobs::CellEvent& event);

    const Clock& m_clock;
    LogRateLimiter m_starts;
    LogRateLimiter m_unsuccessfulStarts;
    LogRateLimiter m_doneRuns;
    LogRateLimiter m_acknowledgements;
    LogRateLimiter m_missingRuns;
};

} // namespace rattanrack::node
