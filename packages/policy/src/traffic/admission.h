#pragma once

#include "traffic/credit_holder.h"
#include "traffic/kind_estimates.h"
#include "traffic/pool_queue.h"

#include <cstdint>
#include <optional>
#include <random>

namespace rattanrack::policy {

/// Why a request is refused at its arrival, and when to ask again.
struct Refusal {
    NotRunReason reason { NotRunReason::QueueFull };
    Duration retryAfter {};
};

/// Decides at arrival whether a request has a chance, so that hopeless ones are answered at once.
class Admission {
public:
    explicit Admission(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Fills in what the pool has learned about requests of this kind: size, credits, run time and its last good start.
    static void estimate(Request&, const KindEstimates&, const CreditHolder&);

    /// The latest time at which the request can start to any use.
    static Deadline latestStart(const Request&);

    /// Why the request cannot be queued; empty when it can, room in the queue aside. `capacity` is in slots.
    std::optional<Refusal> refuse(
        const Request&, const PoolQueue&, const CreditHolder&, double capacity, TimePoint now);

    /// Advice to ask again after about `wait`, spread so that refused callers do not return together.
    Duration retryAdvice(Duration wait);

private:
    std::minstd_rand m_random;
};

} // namespace rattanrack::policy
