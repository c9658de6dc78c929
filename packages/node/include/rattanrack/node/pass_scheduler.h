#pragma once

#include "rattanrack/base/time.h"

#include <optional>

namespace rattanrack::node {

/// Decides when a cell runs its next scheduling pass. The pass runs at the earliest requested time, but only after a
/// rest in proportion to the duration of the last pass. The rest keeps an owner with too little processor time from
/// spending all of it on passes. Not thread-safe.
///
///     if (const auto at = scheduler.request(clock.now() + 6ms))
///         loop.at(Deadline { *at }, [&, at] { if (scheduler.tryBegin(*at)) decide(); });
class PassScheduler {
public:
    /// Requests a pass at `at`. Returns when to run the pass, which may be later, or nothing if a pass that is already
    /// scheduled comes no later.
    std::optional<TimePoint> request(TimePoint at);

    /// Whether the pass that was scheduled for `at` should run now; an earlier pass replaces those scheduled before.
    bool tryBegin(TimePoint at);

    /// Records that a pass took from `startedAt` to `now`.
    void recordPass(TimePoint startedAt, TimePoint now);

private:
    TimePoint m_restUntil {};
    std::optional<TimePoint> m_scheduledFor;
};

} // namespace rattanrack::node
