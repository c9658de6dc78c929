#pragma once

#include "rattanrack/base/time.h"

#include <cstddef>

namespace rattanrack::node {

/// Limits the log lines of one kind of event per second. A new second begins with the first line after the previous one
/// has ended. Not thread-safe.
///
///     if (limiter.admits(clock.now()))
///         reportSuppressed(limiter.takeSuppressedCount()), writeLine();
class LogRateLimiter {
public:
    /// A scheduling pass of a cell starts some 200 tasks. The lines of two passes a second are admitted, so that none
    /// is suppressed under normal load.
    static constexpr std::size_t maxLinesPerSecond = 400;

    /// Returns whether a line may be written at `now`; counts the line as suppressed otherwise.
    bool admits(TimePoint now);

    /// Returns how many lines have been suppressed since the last call.
    std::size_t takeSuppressedCount();

private:
    Deadline m_secondEndsAt;
    std::size_t m_writtenCount { 0 };
    std::size_t m_suppressedCount { 0 };
};

} // namespace rattanrack::node
