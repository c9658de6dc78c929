#pragma once

#include "rattanrack/base/time.h"

#include <optional>

namespace rattanrack::node {

/// When a cell's next pass of decisions runs: at the earliest time that anything asks for, after a rest in proportion
/// to what the last one took. The answer to an owner with too little processor time, which would spend it on passes.
/// For one thread.
///
///     if (const auto at = plan.ask(clock.now() + 6ms))
///         loop.at(Deadline { *at }, [&, at] { if (plan.begins(*at)) decide(); });
class PassScheduler {
public:
    /// Asks for a pass at `at`. Returns when to run it, which may be later; empty when one that is planned comes no
    /// later.
    std::optional<TimePoint> request(TimePoint at);

    /// Whether the pass that was planned for `at` is to run now; an earlier one has taken the place of others.
    bool tryBegin(TimePoint at);

    /// The pass has taken from `begunAt` to `now`.
    void recordPass(TimePoint begunAt, TimePoint now);

private:
    TimePoint m_restUntil {};
    std::optional<TimePoint> m_scheduledFor;
};

} // namespace rattanrack::node
