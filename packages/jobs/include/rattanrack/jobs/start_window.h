#pragma once

#include "rattanrack/jobs/job.h"

namespace rattanrack::jobs {

/// Limits the starts of one cell that are in flight, so that an owner with too little processor time decides on no more
/// starts than it can send. Without the limit its queues would drop most of the starts that it decides on. The limit
/// grows while responses arrive in time and other starts are held back by it. Once most responses are late, it shrinks
/// towards the number that arrived in time.
///
///     if (inFlight < window.limit()) send(start), ++inFlight;
///     window.onResponse(start.worker, sentAt, responseTime, now);
class StartWindow {
public:
    static constexpr int maxPerWorker = 4; ///< Keeps the worker's connection busy; more would only queue.

    /// Later responses are late. Below the time after which the queues drop a start.
    static constexpr Duration responseTimeLimit = std::chrono::milliseconds { 120 };

    /// Starts that may be in flight at once. At least 4.
    int limit() const { return static_cast<int>(m_limit); }

    /// Starts are held back at `now`, since the limit is reached.
    void onLimitReached(TimePoint now) { m_limitReachedAt = now; }

    /// The worker has responded to a start, `responseTime` after the start was sent. If the exchange itself takes
    /// longer than `responseTimeLimit`, `responseTime` is only the wait in this node's queue.
    void onResponse(const WorkerId& worker, TimePoint sentAt, Duration responseTime, TimePoint now);

    /// A start has waited too long in this node's queues and was dropped.
    void onExpired(const WorkerId& worker, TimePoint sentAt, TimePoint now);

    /// Whether starts that were sent clearly later have had responses: the start's worker is slow, not this node.
    bool isOvertaken(TimePoint sentAt) const;

    /// Whether an unanswered start does not count towards the limit, so that unresponsive workers can't close the
    /// window.
    bool isExcluded(TimePoint sentAt, TimePoint now) const;

private:
    void onInTime(TimePoint sentAt);
    void onLate(const WorkerId& worker, TimePoint now);
    void countLate(const WorkerId& worker);
    void shrinkTo(double limit, TimePoint now);
    void beginRound();

    double m_limit { 32 };
    bool m_hasShrunk { false }; ///< The limit grows fast until then.
    TimePoint m_limitReachedAt {};
    TimePoint m_shrunkAt {};
    TimePoint m_latestSentWithResponse {}; ///< When the latest start with a response was sent.

    // Counts over about as many responses as the limit, to starts that were sent since the limit last shrank.
    int m_inTime { 0 };
    int m_late { 0 };
    WorkerId m_lateWorker;
    bool m_areSeveralWorkersLate { false };
};

} // namespace rattanrack::jobs
