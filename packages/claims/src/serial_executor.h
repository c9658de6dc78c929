#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace rattanrack::claims {

/// A thread that runs jobs in the order of their posting.
class JobThread {
public:
    using Job = std::function<void()>;
    using Pause = std::function<std::chrono::microseconds()>;

    /// `pause` tells, on the thread itself, after how long `onPause` runs again, also between jobs.
    JobThread(Pause pause, Job onPause)
        : m_pause(std::move(pause))
        , m_onPause(std::move(onPause))
        , m_thread([this] { work(); })
    {
    }
    ~JobThread() { stop(Rest::Drop); }
    JobThread(const JobThread&) = delete;
    JobThread& operator=(const JobThread&) = delete;

    /// Jobs that are posted after `stop` are dropped.
    void post(Job job)
    {
        {
            const std::lock_guard guard { m_mutex };
            if (m_isEnding)
                return;
            m_jobs.push_back(std::move(job));
        }
        m_changed.notify_one();
    }

    /// What happens to jobs that wait when the thread ends.
    enum class Rest { Run, Drop };

    /// Runs the job under way to its end, runs or drops the others, and joins.
    void stop(Rest rest)
    {
        {
            const std::lock_guard guard { m_mutex };
            m_isEnding = true;
            if (rest == Rest::Drop)
                m_jobs.clear();
        }
        m_changed.notify_one();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    using SteadyClock = std::chrono::steady_clock;

    void work()
    {
        auto pausedAt = SteadyClock::now();
        while (auto job = nextJob(pausedAt + m_pause())) {
            const bool isPause = !*job;
            if (isPause)
                pausedAt = SteadyClock::now();
            isPause ? m_onPause() : (*job)();
        }
    }

    /// An empty job when `pauseAt` has come, however many jobs wait; nothing at the end.
    std::optional<Job> nextJob(SteadyClock::time_point pauseAt)
    {
        std::unique_lock lock { m_mutex };
        m_changed.wait_until(lock, pauseAt, [this] { return m_isEnding || !m_jobs.empty(); });
        if (m_isEnding && m_jobs.empty())
            return std::nullopt;
        if (!m_isEnding && SteadyClock::now() >= pauseAt)
            return Job {};
        if (m_jobs.empty())
            return Job {};
        Job job = std::move(m_jobs.front());
        m_jobs.pop_front();
        return job;
    }

    Pause m_pause;
    Job m_onPause;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Job> m_jobs;
    bool m_isEnding { false };
    std::thread m_thread;
};

} // namespace rattanrack::claims
