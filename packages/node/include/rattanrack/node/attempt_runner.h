#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/platform/worker.h"

#include <functional>

namespace rattanrack::node {

/// Runs one attempt and, when its answer was lost, asks the worker what became of it: the outcome is Unknown only when
/// the worker stays silent for `settleTime` after the loss.
///
/// An attempt that the worker has never seen is revoked first, since its order may still be on the way; only the
/// worker's promise makes it "never started". `pause` sleeps between questions; tests hand in a fake.
platform::TaskOutcome runAttempt(platform::Worker& worker, const platform::TaskOrder& order, Duration settleTime,
    const Clock& clock, const std::function<void(Duration)>& pause);

/// Ends an attempt for good: one that has not reached the worker yet is refused when it does, a running one is stopped.
/// Errors: Unavailable, OutcomeUnknown.
Result<void> endAttempt(platform::Worker& worker, const AttemptId& attempt);

} // namespace rattanrack::node
