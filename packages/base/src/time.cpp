#include "rattanrack/base/time.h"

namespace rattanrack {

TimePoint SystemClock::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint { std::chrono::duration_cast<Duration>(sinceStart) };
}

std::int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace rattanrack
