#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::jobs {

/// Tells the jobs that a customer submits within its weight from those beyond it: a token bucket that fills at `weight`
/// jobs a second and holds what comes in some seconds, since customers submit in bursts.
class SubmissionAllowance {
public:
    /// Counts one job. Returns whether it lies within the weight.
    bool take(double weight, TimePoint now);

private:
    double m_tokens { 0 };
    TimePoint m_filledAt {}; ///< 0: no job has been counted; the bucket is full.
};

} // namespace rattanrack::jobs
