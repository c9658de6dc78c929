#include "rattanrack/platform/circuit_breaker.h"

#include <algorithm>

namespace rattanrack::platform {

CircuitBreaker::CircuitBreaker(const Limits& limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{
}

std::optional<CircuitBreaker::Permission> CircuitBreaker::tryAcquire(TimePoint now)
{
    if (m_state == State::Closed)
        return Permission { m_generation };
    if (m_state == State::Open) {
        if (!m_openUntil.hasPassed(now))
            return std::nullopt;
        m_state = State::HalfOpen;
        m_successfulProbes = 0;
        ++m_generation;
    }
    if (m_isProbeInFlight)
        return std::nullopt;
    m_isProbeInFlight = true;
    return Permission { m_generation };
}

void CircuitBreaker::recordResult(Permission permission, bool isSuccess, TimePoint now)
{
    if (permission.generation != m_generation)
        return;
    if (m_state == State::HalfOpen) {
        m_isProbeInFlight = false;
        if (!isSuccess)
            return open(now);
        if (++m_successfulProbes >= m_limits.successThreshold)
            close();
        return;
    }
    m_consecutiveFailures = isSuccess ? 0 : m_consecutiveFailures + 1;
    if (m_consecutiveFailures >= m_limits.failureThreshold) {
        ++m_openCount;
        open(now);
    }
}

void CircuitBreaker::open(TimePoint now)
{
    m_state = State::Open;
    ++m_generation;
    m_openUntil = Deadline::after(now, jitteredOpenTime());
    ++m_consecutiveOpenings;
}

void CircuitBreaker::close()
{
    m_state = State::Closed;
    ++m_generation;
    m_consecutiveFailures = 0;
    m_consecutiveOpenings = 0;
}

Duration CircuitBreaker::jitteredOpenTime()
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto doubled = m_limits.minOpenTime * (std::int64_t { 1 } << std::min(m_consecutiveOpenings, maxDoublings));
    const auto upperBound = std::min(doubled, m_limits.maxOpenTime);
    std::uniform_int_distribution<Duration::rep> time { upperBound.count() / 2, upperBound.count() };
    return Duration { time(m_random) };
}

} // namespace rattanrack::platform
