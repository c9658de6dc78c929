#include "rattanrack/jobs/offered_load.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration window = 1200ms;
/// Share of the pool's capacity within the window that one job counts for at most.
constexpr double maxJobShare = 0.2;

double seconds(Duration time) { return std::chrono::duration<double> { time }.count(); }

} // namespace

void OfferedLoad::record(Millicores size, Duration time, Millicores capacity, TimePoint now)
{
    const double maxWork = static_cast<double>(capacity.count()) * seconds(window) * maxJobShare;
    const double work = std::min(static_cast<double>(size.count()) * seconds(time), maxWork);
    m_recent.emplace_back(now, work);
    m_recentWork += work;
}

Millicores OfferedLoad::rate(TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().first >= window) {
        m_recentWork -= m_recent.front().second;
        m_recent.pop_front();
    }
    if (m_recent.empty())
        m_recentWork = 0;
    return Millicores { static_cast<std::int64_t>(m_recentWork / seconds(window)) };
}

} // namespace rattanrack::jobs
