#pragma once

#include "rattanrack/base/time.h"

#include <cstddef>

namespace rattanrack::node {

/// Bounds the log lines of one kind of event. Seconds begin with the first line after the previous one. For one thread.
///
///     if (bound.admits(clock.now()))
///         reportGap(bound.takeLeftOut()), writeLine();
class LogRateLimiter {
public:
    /// A turn of a cell starts some 200 subtasks; two of them pass, so that nothing of a calm day is left out.
    static constexpr std::size_t maxLinesPerSecond = 400;

    /// Whether a line may be written at `now`; counts it as left out otherwise.
    bool admits(TimePoint now);

    /// How many lines have been left out since the last call.
    std::size_t takeSuppressedCount();

private:
    Deadline m_secondEnds;
    std::size_t m_written { 0 };
    std::size_t m_leftOut { 0 };
};

} // namespace rattanrack::node
