#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::platform {

/// A rate with a bounded burst. Starts full.
///
///     TokenBucket writes { 50, 50, now };
///     if (!writes.take(now))
///         return;
class TokenBucket {
public:
    /// `ratePerSecond` tokens flow in, up to `capacity`. Both above 0.
    TokenBucket(double ratePerSecond, double capacity, TimePoint now);

    /// Takes one token; false when there is none.
    bool take(TimePoint now);

    /// Throws all tokens away, so that the next ones come at the rate.
    void clear(TimePoint now);

private:
    void refill(TimePoint now);

    double m_ratePerSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace rattanrack::platform
