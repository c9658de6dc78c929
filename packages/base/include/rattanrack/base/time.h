#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace rattanrack {

using Duration = std::chrono::microseconds;

/// Tag of time points on the monotonic clock of one process. They have no meaning in another process: messages carry
/// durations, which the receiver converts to deadlines.
struct MonotonicTag {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
};
using TimePoint = std::chrono::time_point<MonotonicTag, Duration>;

/// The point in time at which something expires. Stored in place of a duration, so that the time limit does not restart
/// when it is passed on.
class Deadline {
public:
    constexpr Deadline() = default;
    constexpr explicit Deadline(TimePoint at)
        : m_at(at)
    {
    }
    static constexpr Deadline after(TimePoint now, Duration duration) { return Deadline { now + duration }; }
    static constexpr Deadline never() { return Deadline { TimePoint::max() }; }

    constexpr TimePoint at() const { return m_at; }
    constexpr bool hasPassed(TimePoint now) const { return now >= m_at; }

    /// Returns the time left at `now`; zero when the deadline has passed.
    constexpr Duration remaining(TimePoint now) const { return hasPassed(now) ? Duration::zero() : m_at - now; }

    friend constexpr auto operator<=>(const Deadline&, const Deadline&) = default;

private:
    TimePoint m_at {};
};

/// Source of the current time. Decision code does not read a clock; it receives the time with each event.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The machine's monotonic clock.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
};

/// A clock that only `advance` and `setNow` move. For tests and simulations; not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    void advance(Duration duration) { m_now += duration; }
    void setNow(TimePoint now) { m_now = now; }

private:
    TimePoint m_now {};
};

/// Returns milliseconds since the Unix epoch, for output and table rows that people read.
std::int64_t wallClockMilliseconds();

} // namespace rattanrack
