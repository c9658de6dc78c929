#pragma once

#include "rattanrack/jobs/cell.h"

#include <map>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// A worker that the advice service may be asked about.
struct TicketCandidate {
    const WorkerDescription* worker { nullptr };
    bool hasRoom { false }; ///< For a task of the step, now.
};

/// The tickets of one step, by worker. The service is asked about a bounded number of workers at a time, and about
/// further ones as long as those with a ticket do not suffice.
class StepTickets {
public:
    /// Tickets that a start may carry at `now`.
    const std::map<WorkerId, std::string>& usableAt(TimePoint now);
    bool hasUsableAt(TimePoint now) const;

    /// Tasks of the step found no room on the workers with a ticket.
    void recordShortage() { m_isShort = true; }

    /// Whether the service should be asked now.
    bool isRequestDue(TimePoint now) const;

    /// Returns the workers to ask about next, those with room first, and marks them as asked about. Only those with
    /// room while some worker has a ticket. Empty: all answers are known.
    std::vector<WorkerId> nextRequest(std::vector<TicketCandidate> candidates, TimePoint now);
    void onResponse(const AdviceResponse& response, TimePoint now);

    /// The worker has refused the ticket.
    void remove(const WorkerId& worker);

private:
    /// What the service has answered about one incarnation of a worker.
    struct Answer {
        std::string ticket; ///< Empty: the step may not run there.
        std::int64_t incarnationUnixMs { 0 };
        TimePoint validUntil {};
    };

    bool isKnown(const WorkerDescription& worker, TimePoint now) const;

    std::map<WorkerId, Answer> m_answers;
    std::map<WorkerId, std::string> m_usable; ///< As of the last call of `usableAt`.
    std::map<WorkerId, std::int64_t> m_asked; ///< Incarnations that the request in progress asks about.
    TimePoint m_retryAt {};
    bool m_isShort { false };
};

} // namespace rattanrack::jobs
