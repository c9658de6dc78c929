#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"
#include "rattanrack/jobs/lease_clock.h"
#include "rattanrack/node/cell_host.h"

#include <utility>

/// Log lines and metrics of a cell's host.
namespace rattanrack::node {

/// Logs until when nothing of the jobs taken over starts, once and after each change.
void CellHost::reportRecovery()
{
    if (m_reportedGrant == m_earlierGrantsEndAt || m_cell.workersWaitedFor() == 0)
        return;
    m_reportedGrant = m_earlierGrantsEndAt;
    const auto sinceTakeover = [&](TimePoint at) { return milliseconds(at - m_takenOverAt); };
    logEvent("cell.recovering",
        { { "cell", m_pool.value() }, { "term", m_writer.term() }, { "workers", m_cell.workersWaitedFor() },
            { "latestGrantMs", sinceTakeover(m_earlierGrantsEndAt) },
            { "untilMs", sinceTakeover(m_earlierGrantsEndAt + jobs::inheritedLease({}, m_leaseLength)) } });
}

void CellHost::reportWorkersWithoutRoom()
{
    const std::size_t count = m_cell.workersWithoutRoom();
    if (std::exchange(m_workersWithoutRoom, count) == count)
        return;
    m_parts.metrics.setGauge(
        "rattanrack_workers_without_room", { { "cell", m_pool.value() } }, static_cast<double>(count));
    logEvent("workers.without_room", { { "cell", m_pool.value() }, { "term", m_writer.term() }, { "workers", count } },
        LogLevel::Warning);
}

void CellHost::handleEvent(const jobs::CellEvent& event)
{
    const std::string name = m_parts.log.write(m_pool, m_writer.term(), event);
    m_parts.metrics.increment("rattanrack_cell_events_total", { { "event", name } });
    if (const auto* runEvent = std::get_if<jobs::RunEvent>(&event))
        recordRunEvent(*runEvent);
    if (const auto* missing = std::get_if<jobs::MissingRunEvent>(&event))
        m_parts.metrics.increment(
            "rattanrack_tasks_without_run_total", { { "reason", std::string { describe(missing->reason) } } });
    if (const auto* trials = std::get_if<jobs::TrialQueueEvent>(&event))
        recordTrialQueue(*trials);
}

void CellHost::recordTrialQueue(const jobs::TrialQueueEvent& event)
{
    const MetricLabels cell { { "cell", m_pool.value() } };
    m_parts.metrics.setGauge("rattanrack_trial_suspects", cell, event.suspects);
    m_parts.metrics.setGauge("rattanrack_trial_suspects_waiting", cell, event.waiting);
    m_parts.metrics.setGauge("rattanrack_trials_in_progress", cell, event.trials);
    m_parts.metrics.setGauge(
        "rattanrack_trial_longest_wait_seconds", cell, static_cast<double>(event.longestWait.count()) / 1e6);
    m_parts.metrics.setGauge("rattanrack_trial_workers_kept", cell, event.keptWorkers);
    m_parts.metrics.increment("rattanrack_late_first_starts_total", cell, event.lateFirstStarts);
    m_parts.metrics.increment("rattanrack_trial_suspects_cleared_total", cell, event.cleared);
    m_parts.metrics.increment("rattanrack_trial_jobs_given_up_total", cell, event.givenUp);
    m_parts.metrics.increment("rattanrack_trial_losses_total", cell, event.losses);
}

void CellHost::recordRunEvent(const jobs::RunEvent& event)
{
    if (event.kind == jobs::RunEvent::Kind::Starting) {
        m_parts.loadMonitor.recordStart(event.age);
        m_unconfirmedStarts.onStart(m_parts.clock.now(), event.followsPresumedEnd);
    }
    if (event.followsPresumedEnd)
        m_parts.metrics.increment("rattanrack_starts_after_presumed_end_total", { { "cell", m_pool.value() } });
    if (event.kind == jobs::RunEvent::Kind::NotStarted)
        m_parts.metrics.increment("rattanrack_starts_without_run_total", { { "reason", event.detail } });
}

/// Logs what was started while another node may have owned the cell already.
void CellHost::reportReplaced()
{
    if (m_isHandingBack)
        return;
    logEvent("cell.replaced",
        { { "cell", m_pool.value() }, { "term", m_writer.term() },
            { "confirmedMs", milliseconds(m_parts.clock.now() - m_writer.confirmedAt()) },
            { "starts", m_unconfirmedStarts.count() }, { "repeats", m_unconfirmedStarts.repeats() } },
        LogLevel::Warning);
}

} // namespace rattanrack::node
