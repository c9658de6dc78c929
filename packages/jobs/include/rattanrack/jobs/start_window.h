#pragma once

#include "rattanrack/jobs/job.h"

namespace rattanrack::jobs {

/// Bounds the starts of one cell that are on their way, so that no more are decided on than their owner can send. The
/// answer to an owner with too little processor time: without a bound its queues would throw away most of what it
/// decides. Grows while starts are answered in time and the bound is what holds others back; shrinks towards as many as
/// were in time once most come late.
///
///     if (inFlight < window.limit()) order(start), ++inFlight;
///     window.answered(start.worker, orderedAt, answeredAfter, now);
class StartWindow {
public:
    static constexpr int maxPerWorker = 4; ///< Keeps its connection busy; more would wait behind each other.

    /// Later answers are late. Below the time after which the queues drop a start.
    static constexpr Duration responseTimeLimit = std::chrono::milliseconds { 120 };

    /// Starts that may be on their way at once. At least 4.
    int limit() const { return static_cast<int>(m_limit); }

    /// Starts are held back at `now`, as the limit is reached.
    void onLimitReached(TimePoint now) { m_reachedAt = now; }

    /// The worker has answered a start, `after` it had been ordered. Where the exchange itself takes longer than
    /// `latestAnswer`, `after` is the wait in this node's queue alone.
    void onResponse(const WorkerId& worker, TimePoint orderedAt, Duration after, TimePoint now);

    /// A start has waited too long in this node's queues and was not sent.
    void onExpired(const WorkerId& worker, TimePoint orderedAt, TimePoint now);

    /// Others that were ordered clearly later have been answered: the start's worker is slow, not this node.
    bool isOvertaken(TimePoint orderedAt) const;

    /// Whether an unanswered start takes none of the window, so that workers that don't answer can't close it.
    bool isExcluded(TimePoint orderedAt, TimePoint now) const;

private:
    void inTime(TimePoint orderedAt);
    void late(const WorkerId& worker, TimePoint now);
    void noteLate(const WorkerId& worker);
    void shrinkTo(double limit, TimePoint now);
    void beginRound();

    double m_limit { 32 };
    bool m_hasShrunk { false }; ///< Until then it grows fast.
    TimePoint m_reachedAt {};
    TimePoint m_shrunkAt {};
    TimePoint m_latestAnswered {}; ///< When the latest start that has been answered was ordered.

    // Of about as many answers as the limit, to starts that were ordered since it last shrank.
    int m_inTime { 0 };
    int m_late { 0 };
    WorkerId m_lateWorker;
    bool m_areSeveralLate { false }; ///< Workers.
};

} // namespace rattanrack::jobs
