#pragma once

#include "rattanrack/platform/worker.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace rattanrack::node::testing {

/// A scripted worker: each `run` returns the next scripted status, or Completed when the script is empty.
class FakeWorker final : public platform::Worker {
public:
    void setStatuses(std::deque<platform::TaskStatus> statuses)
    {
        const std::lock_guard lock(m_mutex);
        m_statuses = std::move(statuses);
    }

    /// Sets the reports that `revoke` and `attempt` return one after the other; Unavailable when none is left.
    void setReports(std::deque<platform::AttemptReport> reports)
    {
        const std::lock_guard lock(m_mutex);
        m_reports = std::move(reports);
    }

    std::vector<platform::TaskOrder> orders() const
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

    std::size_t queryCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_queryCount;
    }

    platform::TaskOutcome run(const platform::TaskOrder& order) override
    {
        const std::lock_guard lock(m_mutex);
        m_orders.push_back(order);
        platform::TaskStatus status = platform::TaskStatus::Completed;
        if (!m_statuses.empty()) {
            status = m_statuses.front();
            m_statuses.pop_front();
        }
        return { status, status == platform::TaskStatus::Completed ? "echo:" + order.payload : "", "scripted" };
    }

    Result<platform::AttemptReport> revoke(const AttemptId&) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_queryCount;
        if (m_reports.empty())
            return fail(ErrorCode::Unavailable, "worker.revoke", "fake");
        platform::AttemptReport report = m_reports.front();
        m_reports.pop_front();
        return report;
    }

    Result<platform::AttemptReport> attempt(const AttemptId& id) override { return revoke(id); }
    Result<void> renewLease(const AttemptId&, Deadline) override { return {}; }
    Result<void> stop(const AttemptId&, platform::StopMode) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_stopCount;
        return {};
    }
    std::size_t stopCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_stopCount;
    }
    Result<void> setDraining(bool, std::uint64_t, std::uint64_t) override { return {}; }
    Result<void> reboot(std::uint64_t, std::uint64_t) override { return {}; }
    Result<platform::WorkerReport> report() override { return platform::WorkerReport {}; }

private:
    mutable std::mutex m_mutex;
    std::deque<platform::TaskStatus> m_statuses;
    std::deque<platform::AttemptReport> m_reports;
    std::vector<platform::TaskOrder> m_orders;
    std::size_t m_queryCount { 0 };
    std::size_t m_stopCount { 0 };
};

} // namespace rattanrack::node::testing
