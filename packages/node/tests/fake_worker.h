#pragma once

#include "rattanrack/platform/worker.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace rattanrack::node::testing {

/// A worker that follows a script: each `run` gives the next scripted status, Completed when the script is empty.
class FakeWorker final : public platform::Worker {
public:
    void script(std::deque<platform::TaskStatus> statuses)
    {
        const std::lock_guard lock(m_mutex);
        m_script = std::move(statuses);
    }

    /// What `revoke` and `attempt` answer; Unavailable when empty.
    void answerQuestions(std::deque<platform::AttemptReport> reports)
    {
        const std::lock_guard lock(m_mutex);
        m_reports = std::move(reports);
    }

    std::vector<platform::TaskOrder> orders() const
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

    std::size_t questions() const
    {
        const std::lock_guard lock(m_mutex);
        return m_questions;
    }

    platform::TaskOutcome run(const platform::TaskOrder& order) override
    {
        const std::lock_guard lock(m_mutex);
        m_orders.push_back(order);
        platform::TaskStatus status = platform::TaskStatus::Completed;
        if (!m_script.empty()) {
            status = m_script.front();
            m_script.pop_front();
        }
        return { status, status == platform::TaskStatus::Completed ? "echo:" + order.payload : "", "scripted" };
    }

    Result<platform::AttemptReport> revoke(const AttemptId&) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_questions;
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
        ++m_stops;
        return {};
    }
    std::size_t stops() const
    {
        const std::lock_guard lock(m_mutex);
        return m_stops;
    }
    Result<void> setDraining(bool, std::uint64_t, std::uint64_t) override { return {}; }
    Result<void> reboot(std::uint64_t, std::uint64_t) override { return {}; }
    Result<platform::WorkerReport> report() override { return platform::WorkerReport {}; }

private:
    mutable std::mutex m_mutex;
    std::deque<platform::TaskStatus> m_script;
    std::deque<platform::AttemptReport> m_reports;
    std::vector<platform::TaskOrder> m_orders;
    std::size_t m_questions { 0 };
    std::size_t m_stops { 0 };
};

} // namespace rattanrack::node::testing
