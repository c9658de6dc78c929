#pragma once

#include "traffic/request.h"

#include <unordered_map>
#include <utility>

namespace rattanrack::policy {

/// The live requests of this node, the index of their next deadlines, and the decisions of the present event. A request
/// leaves the table with its one final decision.
class RequestTable {
public:
    /// Nothing is dispatched from `last` on.
    void setLastDispatch(Deadline last) { m_lastDispatch = last; }
    bool mayDispatch() const { return !m_lastDispatch.hasPassed(m_now); }

    /// The time of the event being handled.
    TimePoint now() const { return m_now; }
    void begin(TimePoint now);
    TrafficDecisions takeDecisions() { return std::exchange(m_decisions, {}); }

    /// Adds a request; it must not be in the table.
    Request& add(const RequestSpec&);
    Request* find(const RequestId&);
    /// Every request that is not running, by wake time.
    std::vector<Request*> waiting() const;
    std::size_t size() const { return m_requests.size(); }

    /// Calls back for the request at `wake`, by `nextDue`.
    void setWake(Request&, Deadline wake);

    /// A request whose wake time has passed; null when there is none. The caller moves its wake or finishes it.
    Request* nextDue();
    Deadline nextWake() const;

    void emit(TrafficDecision decision) { m_decisions.push_back(std::move(decision)); }

    /// Final decisions; the request is gone afterwards. A request of which an attempt may have run is concluded with
    /// that attempt's end in place of a rejection.
    void reject(Request&, NotRunReason, Duration retryAfter = {});
    void conclude(Request&, AttemptEnd);

private:
    void erase(Request&);

    TimePoint m_now;
    Deadline m_lastDispatch { Deadline::never() };
    TrafficDecisions m_decisions;
    std::unordered_map<RequestId, Request> m_requests;
    Request::DeadlineIndex m_wakes;
};

} // namespace rattanrack::policy
