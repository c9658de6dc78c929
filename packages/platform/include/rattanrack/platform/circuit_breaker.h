#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace rattanrack::platform {

/// Stops calls to a service that fails. After `failureThreshold` consecutive failures the breaker opens for a jittered
/// time that doubles with each failed probe. Then it is half-open: one call at a time is allowed as a probe, and
/// `successThreshold` successful probes close it.
///
///     if (auto permission = breaker.tryAcquire(now))
///         breaker.recordResult(*permission, call(), clock.now());
class CircuitBreaker {
public:
    struct Limits {
        std::uint32_t failureThreshold { 3 };
        std::uint32_t successThreshold { 2 };
        Duration minOpenTime { std::chrono::milliseconds { 200 } };
        Duration maxOpenTime { std::chrono::seconds { 5 } };
    };

    /// Permission to make one call. The result counts only while the breaker is in the generation that granted it.
    struct Permission {
        std::uint64_t generation { 0 };
    };

    CircuitBreaker(const Limits&, std::uint64_t seed);

    /// Returns nullopt when the call must not be made. The result under each permission must be passed to
    /// `recordResult`.
    std::optional<Permission> tryAcquire(TimePoint now);
    void recordResult(Permission, bool isSuccess, TimePoint now);

    bool isClosed() const { return m_state == State::Closed; }

    /// Returns how often the breaker has opened after being closed.
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
    std::uint32_t m_consecutiveOpenings { 0 }; ///< Openings since it was last closed.
    std::uint32_t m_successfulProbes { 0 };
    bool m_isProbeInFlight { false };
    Deadline m_openUntil;
    std::uint64_t m_openCount { 0 };
};

} // namespace rattanrack::platform
