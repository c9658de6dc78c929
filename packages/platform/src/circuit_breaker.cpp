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
        return Permission { m_period };
    if (m_state == State::Open) {
        if (!m_opensUntil.hasPassed(now))
            return std::nullopt;
        m_state = State::Probing;
        m_goodProbes = 0;
        ++m_period;
    }
    if (m_isProbeOut)
        return std::nullopt;
    m_isProbeOut = true;
    return Permission { m_period };
}

void CircuitBreaker::recordResult(Permission pass, bool isGood, TimePoint now)
{
    if (pass.generation != m_period)
        return;
    if (m_state == State::Probing) {
        m_isProbeOut = false;
        if (!isGood)
            return open(now);
        if (++m_goodProbes >= m_limits.probesToClose)
            close();
        return;
    }
    m_failuresInRow = isGood ? 0 : m_failuresInRow + 1;
    if (m_failuresInRow >= m_limits.failuresToOpen) {
        ++m_openings;
        open(now);
    }
}

void CircuitBreaker::open(TimePoint now)
{
    m_state = State::Open;
    ++m_period;
    m_opensUntil = Deadline::after(now, jitteredOpenTime());
    ++m_failedOpenings;
}

void CircuitBreaker::close()
{
    m_state = State::Closed;
    ++m_period;
    m_failuresInRow = 0;
    m_failedOpenings = 0;
}

Duration CircuitBreaker::jitteredOpenTime()
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto doubled = m_limits.shortestOpen * (std::int64_t { 1 } << std::min(m_failedOpenings, maxDoublings));
    const auto longest = std::min(doubled, m_limits.longestOpen);
    std::uniform_int_distribution<Duration::rep> time { longest.count() / 2, longest.count() };
    return Duration { time(m_random) };
}

} // namespace rattanrack::platform
