#include "rattanrack/jobs/start_window.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr double lowestLimit = 4; ///< Starts.
constexpr double highestLimit = 1000; ///< Starts.
constexpr double slowGrowth = 0.1; ///< For each response in time, once the limit has shrunk.
constexpr double maxRemainingShare = 0.8; ///< Share of the limit that remains when it shrinks.
constexpr double minRemainingShare = 0.25;
constexpr Duration overtakenMargin = 200ms;
/// An unanswered start counts for this long at most; its response may take until the call's timeout.
constexpr Duration maxCountedTime = 350ms;

} // namespace

bool StartWindow::isOvertaken(TimePoint sentAt) const { return sentAt + overtakenMargin < m_latestSentWithResponse; }

bool StartWindow::isExcluded(TimePoint sentAt, TimePoint now) const
{
    return isOvertaken(sentAt) || now - sentAt > maxCountedTime;
}

void StartWindow::onResponse(const WorkerId& worker, TimePoint sentAt, Duration responseTime, TimePoint now)
{
    if (isOvertaken(sentAt))
        return;
    m_latestSentWithResponse = std::max(m_latestSentWithResponse, sentAt);
    if (responseTime <= responseTimeLimit)
        onInTime(sentAt);
    else if (sentAt >= m_shrunkAt)
        onLate(worker, now);
}

void StartWindow::onExpired(const WorkerId& worker, TimePoint sentAt, TimePoint now)
{
    if (isOvertaken(sentAt) || sentAt < m_shrunkAt)
        return;
    countLate(worker);
    if (m_areSeveralWorkersLate)
        shrinkTo(m_hasShrunk && m_late < m_inTime ? m_limit * maxRemainingShare : m_inTime, now);
}

void StartWindow::onInTime(TimePoint sentAt)
{
    if (sentAt <= m_limitReachedAt)
        m_limit = std::min(highestLimit, m_limit + (m_hasShrunk ? slowGrowth : 1));
    if (sentAt < m_shrunkAt)
        return;
    ++m_inTime;
    if (m_inTime + m_late >= limit())
        beginRound();
}

void StartWindow::onLate(const WorkerId& worker, TimePoint now)
{
    countLate(worker);
    if (m_areSeveralWorkersLate && m_late >= m_inTime)
        shrinkTo(m_inTime, now);
}

void StartWindow::countLate(const WorkerId& worker)
{
    m_areSeveralWorkersLate = m_areSeveralWorkersLate || (m_late > 0 && worker != m_lateWorker);
    m_lateWorker = worker;
    ++m_late;
}

/// Responses to starts that were sent before the limit shrank say nothing about the new limit.
void StartWindow::shrinkTo(double limit, TimePoint now)
{
    m_limit = std::max(lowestLimit, std::clamp(limit, m_limit * minRemainingShare, m_limit * maxRemainingShare));
    m_hasShrunk = true;
    m_shrunkAt = now;
    beginRound();
}

void StartWindow::beginRound()
{
    m_inTime = 0;
    m_late = 0;
    m_areSeveralWorkersLate = false;
}

} // namespace rattanrack::jobs
