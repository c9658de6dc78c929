#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/platform/worker.h"

#include <functional>

namespace rattanrack::node {

/// Runs one attempt. If its response was lost, queries the worker for the outcome: the outcome is Unknown only if the
/// worker does not respond for `resolveTimeout` after the loss.
///
/// An attempt that the worker has not received is revoked, since the request may still be in flight; only the worker's
/// confirmation proves that it was never started. `pause` sleeps between queries; tests pass a fake.
platform::TaskOutcome runAttempt(platform::Worker& worker, const platform::TaskOrder& order, Duration resolveTimeout,
    const Clock& clock, const std::function<void(Duration)>& pause);

/// Ends an attempt permanently: revokes it, so that the worker rejects it if it arrives later, and stops it if it is
/// running. Errors: Unavailable, OutcomeUnknown.
Result<void> endAttempt(platform::Worker& worker, const AttemptId& attempt);

} // namespace rattanrack::node
