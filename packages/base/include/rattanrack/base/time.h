#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace rattanrack {

using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. Its time points mean nothing in another process: durations cross the wire and
/// become deadlines on arrival.
struct MonotonicTag {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
};
using TimePoint = std::chrono::time_point<MonotonicTag, Duration>;

/// The point in time at which something ends. Stored in place of a duration, so that it does not start anew when it is
/// handed on.
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

    /// Time left at `now`; zero when the deadline has passed.
    constexpr Duration remaining(TimePoint now) const { return hasPassed(now) ? Duration::zero() : m_at - now; }

    friend constexpr auto operator<=>(const Deadline&, const Deadline&) = default;

private:
    TimePoint m_at {};
};

/// Source of the current time. Decision code never asks for the time; it is handed in with each event.
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

/// A clock that moves only when told to. For tests and simulations; not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    void advance(Duration duration) { m_now += duration; }
    void setNow(TimePoint now) { m_now = now; }

private:
    TimePoint m_now {};
};

/// Milliseconds since the Unix epoch, for people and for rows of the table that people read.
std::int64_t wallClockMilliseconds();

} // namespace rattanrack
