#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace rattanrack::platform {

/// Keeps calls away from a service that fails. After `failuresToOpen` failures in a row it opens for a jittered time
/// that doubles with each failed probe; then one call at a time probes, and `probesToClose` good probes close it.
///
///     if (auto pass = breaker.enter(now))
///         breaker.leave(*pass, call(), clock.now());
class CircuitBreaker {
public:
    struct Limits {
        std::uint32_t failureThreshold { 3 };
        std::uint32_t successThreshold { 2 };
        Duration minOpenTime { std::chrono::milliseconds { 200 } };
        Duration maxOpenTime { std::chrono::seconds { 5 } };
    };

    /// Right to make one call. Its result counts only while the breaker is in the period that gave it.
    struct Permission {
        std::uint64_t generation { 0 };
    };

    CircuitBreaker(const Limits&, std::uint64_t seed);

    /// Empty when the call must not be made. Every pass must be handed back to `leave`.
    std::optional<Permission> tryAcquire(TimePoint now);
    void recordResult(Permission, bool isGood, TimePoint now);

    bool isClosed() const { return m_state == State::Closed; }

    /// Times that it has opened after being closed.
    std::uint64_t openCount() const { return m_openCount; }

private:
    enum class State { Closed, Open, HalfOpen };

    void open(TimePoint now);
    void close();
    Duration jitteredOpenTime();

    Limits m_limits;
    std::mt19937_64 m_random;
    State m_state { State::Closed };
    std::uint64_t m_generation { 0 };
    std::uint32_t m_consecutiveFailures { 0 };
    std::uint32_t m_consecutiveOpenings { 0 }; ///< Openings in a row without a closing between them.
    std::uint32_t m_successfulProbes { 0 };
    bool m_isProbeInFlight { false };
    Deadline m_openUntil;
    std::uint64_t m_openCount { 0 };
};

} // namespace rattanrack::platform
