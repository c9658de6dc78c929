#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/jobs/worker.h"
#include "rattanrack/node/delay_summary.h"

namespace rattanrack::node {

/// What the load of a node is reported with besides what `NodeLoad` has been told.
struct NodeLoadContext {
    std::size_t cells { 0 }; ///< That this node owns.
    std::size_t commandsInFlight { 0 }; ///< Starts and stops without an answer.
};

/// Shows whether a node keeps up: how late its control loop runs, how long orders wait in its queues, and on how old a
/// list of workers it decides. Metrics and at most one line `event=node.load` a period. For the control thread.
class NodeLoadMonitor {
public:
    static constexpr Duration reportPeriod = std::chrono::seconds { 2 };
    static constexpr Duration lateLoopThreshold
        = std::chrono::milliseconds { 250 }; ///< Reported also without any cell.

    explicit NodeLoadMonitor(Metrics& metrics)
        : m_metrics(metrics)
    {
    }

    /// A start has been decided on by a list of workers of this age.
    void recordStart(Duration listAge) { m_listAges.observe(listAge); }

    /// A start, stop or pace has left this node's queue.
    void recordCommandResult(const jobs::CommandResult& answer);

    bool isReportDue(TimePoint now) const { return now - m_reportedAt >= reportPeriod; }

    /// Reports what has come up since the last report and begins anew.
    void report(const DelaySummary& loop, const NodeLoadContext& context, TimePoint now);

private:
    void setGauges(const DelaySummary& loop, const NodeLoadContext& context);

    Metrics& m_metrics;
    TimePoint m_reportedAt {};
    DelaySummary m_queueing;
    DelaySummary m_listAges;
    std::size_t m_expired { 0 };
};

} // namespace rattanrack::node
