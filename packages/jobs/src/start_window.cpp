#include "rattanrack/jobs/start_window.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double lowestLimit = 4; ///< Starts.
constexpr double highestLimit = 1000; ///< Starts.
constexpr double slowGrowth = 0.1; ///< For each answer in time, once it has shrunk.
constexpr double mostKept = 0.8; ///< Of the limit when it shrinks.
constexpr double leastKept = 0.25;
constexpr Duration overtakenBy = 200ms;
constexpr Duration longestInFlight = 350ms; ///< A start counts no longer; its answer may take until the call's timeout.

} // namespace

bool StartWindow::isOvertaken(TimePoint orderedAt) const { return orderedAt + overtakenBy < m_latestAnswered; }

bool StartWindow::isExcluded(TimePoint orderedAt, TimePoint now) const
{
    return isOvertaken(orderedAt) || now - orderedAt > longestInFlight;
}

void StartWindow::onResponse(const WorkerId& worker, TimePoint orderedAt, Duration after, TimePoint now)
{
    if (isOvertaken(orderedAt))
        return;
    m_latestAnswered = std::max(m_latestAnswered, orderedAt);
    if (after <= responseTimeLimit)
        inTime(orderedAt);
    else if (orderedAt >= m_shrunkAt)
        late(worker, now);
}

void StartWindow::onExpired(const WorkerId& worker, TimePoint orderedAt, TimePoint now)
{
    if (isOvertaken(orderedAt) || orderedAt < m_shrunkAt)
        return;
    noteLate(worker);
    if (m_areSeveralLate)
        shrinkTo(m_hasShrunk && m_late < m_inTime ? m_limit * mostKept : m_inTime, now);
}

void StartWindow::inTime(TimePoint orderedAt)
{
    if (orderedAt <= m_reachedAt)
        m_limit = std::min(highestLimit, m_limit + (m_hasShrunk ? slowGrowth : 1));
    if (orderedAt < m_shrunkAt)
        return;
    ++m_inTime;
    if (m_inTime + m_late >= limit())
        beginRound();
}

void StartWindow::late(const WorkerId& worker, TimePoint now)
{
    noteLate(worker);
    if (m_areSeveralLate && m_late >= m_inTime)
        shrinkTo(m_inTime, now);
}

void StartWindow::noteLate(const WorkerId& worker)
{
    m_areSeveralLate = m_areSeveralLate || (m_late > 0 && worker != m_lateWorker);
    m_lateWorker = worker;
    ++m_late;
}

/// Answers to starts that were ordered before it say nothing of the new limit.
void StartWindow::shrinkTo(double limit, TimePoint now)
{
    m_limit = std::max(lowestLimit, std::clamp(limit, m_limit * leastKept, m_limit * mostKept));
    m_hasShrunk = true;
    m_shrunkAt = now;
    beginRound();
}

void StartWindow::beginRound()
{
    m_inTime = 0;
    m_late = 0;
    m_areSeveralLate = false;
}

} // namespace rattanrack::jobs
