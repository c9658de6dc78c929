#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/jobs/worker.h"
#include "rattanrack/node/delay_summary.h"

namespace rattanrack::node {

/// Values of a load report that `NodeLoadMonitor` does not record itself.
struct NodeLoadContext {
    std::size_t cells { 0 }; ///< Cells that this node owns.
    std::size_t commandsInFlight { 0 }; ///< Starts and stops without a result.
    std::size_t announcements { 0 }; ///< Received from peers since the last report.
    std::size_t peerConnections { 0 }; ///< Open ones that peers have opened.
    std::size_t connectionLimit { 0 }; ///< Of the connections that peers have opened.
    std::uint64_t refusedConnections { 0 }; ///< Of peers since the last report, because of the limit.
};

/// Reports whether a node keeps up with its load: how late its control loop runs, how long commands wait in its queues,
/// and how old the worker lists are on which it decides. Sets metrics, and writes at most one line `event=node.load`
/// per period. Control thread only.
class NodeLoadMonitor {
public:
    static constexpr Duration reportPeriod = std::chrono::seconds { 2 };
    /// Smallest loop delay that is reported by a node without cells too.
    static constexpr Duration lateLoopThreshold = std::chrono::milliseconds { 250 };

    explicit NodeLoadMonitor(Metrics& metrics)
        : m_metrics(metrics)
    {
    }

    /// Records a start that was decided on a worker list of the given age.
    void recordStart(Duration listAge) { m_listAges.observe(listAge); }

    /// Records a start, stop or throttle command that has left this node's queue.
    void recordCommandResult(const jobs::CommandResult& answer);

    bool isReportDue(TimePoint now) const { return now - m_reportedAt >= reportPeriod; }

    /// Reports what was recorded since the last report, and resets it.
    void report(const DelaySummary& loop, const NodeLoadContext& context, TimePoint now);

private:
    void setGauges(const DelaySummary& loop, const NodeLoadContext& context);

    Metrics& m_metrics;
    TimePoint m_reportedAt {};
    DelaySummary m_queueingTimes;
    DelaySummary m_listAges;
    std::size_t m_expiredStarts { 0 };
};

} // namespace rattanrack::node
