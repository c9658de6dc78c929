#pragma once

#include "rattanrack/base/time.h"

namespace rattanrack::platform {

/// Limits calls to a rate with a bounded burst. Starts full.
///
///     TokenBucket writes { 50, 50, now };
///     if (!writes.take(now))
///         return;
class TokenBucket {
public:
    /// `ratePerSecond` tokens are added per second, up to `capacity`. Both must be above 0.
    TokenBucket(double ratePerSecond, double capacity, TimePoint now);

    /// Takes one token. Returns false when there is none.
    bool take(TimePoint now);

    /// Removes all tokens, so that no burst follows.
    void clear(TimePoint now);

private:
    void refill(TimePoint now);

    double m_ratePerSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace rattanrack::platform
