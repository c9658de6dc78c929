#include "rattanrack/node/node_load_monitor.h"

#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

namespace rattanrack::node {

namespace {

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void NodeLoadMonitor::recordCommandResult(const jobs::CommandResult& answer)
{
    m_queueingTimes.observe(answer.queuedFor);
    m_expiredStarts += answer.status == jobs::CommandStatus::Expired ? 1 : 0;
}

void NodeLoadMonitor::report(const DelaySummary& loop, const NodeLoadContext& context, TimePoint now)
{
    m_reportedAt = now;
    setGauges(loop, context);
    if (context.cells > 0 || loop.worst() >= lateLoopThreshold)
        logEvent("node.load",
            { { "cells", context.cells }, { "loopRuns", loop.count() }, { "loopMeanMs", milliseconds(loop.mean()) },
                { "loopWorstMs", milliseconds(loop.worst()) }, { "orders", m_queueingTimes.count() },
                { "queuedMeanMs", milliseconds(m_queueingTimes.mean()) },
                { "queuedWorstMs", milliseconds(m_queueingTimes.worst()) }, { "startsExpired", m_expiredStarts },
                { "starts", m_listAges.count() }, { "listAgeWorstMs", milliseconds(m_listAges.worst()) },
                { "ordersInFlight", context.commandsInFlight }, { "announcements", context.announcements },
                { "peerConnections", context.peerConnections }, { "refusedConnections", context.refusedConnections } });
    m_queueingTimes = {};
    m_listAges = {};
    m_expiredStarts = 0;
}

void NodeLoadMonitor::setGauges(const DelaySummary& loop, const NodeLoadContext& context)
{
    m_metrics.setGauge("rattanrack_loop_delay_seconds", { { "of", "mean" } }, seconds(loop.mean()));
    m_metrics.setGauge("rattanrack_loop_delay_seconds", { { "of", "worst" } }, seconds(loop.worst()));
    m_metrics.setGauge("rattanrack_order_queueing_seconds", { { "of", "mean" } }, seconds(m_queueingTimes.mean()));
    m_metrics.setGauge("rattanrack_order_queueing_seconds", { { "of", "worst" } }, seconds(m_queueingTimes.worst()));
    m_metrics.setGauge("rattanrack_worker_list_age_seconds", { { "of", "worst" } }, seconds(m_listAges.worst()));
    m_metrics.setGauge("rattanrack_orders_in_flight", {}, static_cast<double>(context.commandsInFlight));
    m_metrics.increment("rattanrack_starts_expired_total", {}, static_cast<double>(m_expiredStarts));
    m_metrics.increment("rattanrack_announcements_received_total", {}, static_cast<double>(context.announcements));
    m_metrics.setGauge("rattanrack_peer_connections", {}, static_cast<double>(context.peerConnections));
    m_metrics.setGauge("rattanrack_peer_connection_limit", {}, static_cast<double>(context.connectionLimit));
    m_metrics.increment(
        "rattanrack_peer_connections_refused_total", {}, static_cast<double>(context.refusedConnections));
}

} // namespace rattanrack::node
