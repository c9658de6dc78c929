#include "rattanrack/jobs/offered_load.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration window = 1200ms;
constexpr double largestShare = 0.2; ///< Of what the room could do within the window, by one job.

double seconds(Duration time) { return std::chrono::duration<double> { time }.count(); }

} // namespace

void OfferedLoad::record(Millicores size, Duration time, Millicores room, TimePoint now)
{
    const double most = static_cast<double>(room.count()) * seconds(window) * largestShare;
    const double work = std::min(static_cast<double>(size.count()) * seconds(time), most);
    m_recent.emplace_back(now, work);
    m_sum += work;
}

Millicores OfferedLoad::rate(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().first >= window) {
        m_sum -= m_recent.front().second;
        m_recent.pop_front();
    }
    if (m_recent.empty())
        m_sum = 0;
    return Millicores { static_cast<std::int64_t>(m_sum / seconds(window)) };
}

} // namespace rattanrack::jobs
