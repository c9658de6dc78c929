#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace rattanrack::claims {

/// Runs functions on its own thread in the order in which they were posted, and a tick function between them.
class SerialExecutor {
public:
    using Function = std::function<void()>;
    using TickDelay = std::function<std::chrono::microseconds()>;

    /// `tickDelay` is called on the thread. It returns the time after which `onTick` runs again, even while functions
    /// are queued.
    SerialExecutor(TickDelay tickDelay, Function onTick)
        : m_tickDelay(std::move(tickDelay))
        , m_onTick(std::move(onTick))
        , m_thread([this] { run(); })
    {
    }
    ~SerialExecutor() { stop(QueuedFunctions::Drop); }
    SerialExecutor(const SerialExecutor&) = delete;
    SerialExecutor& operator=(const SerialExecutor&) = delete;

    /// Functions that are posted after `stop` are dropped.
    void post(Function function)
    {
        {
            const std::lock_guard guard { m_mutex };
            if (m_isStopping)
                return;
            m_functions.push_back(std::move(function));
        }
        m_condition.notify_one();
    }

    /// What happens to queued functions when the thread stops.
    enum class QueuedFunctions { Run, Drop };

    /// Waits for the running function, runs or drops the queued ones, and joins the thread.
    void stop(QueuedFunctions queued)
    {
        {
            const std::lock_guard guard { m_mutex };
            m_isStopping = true;
            if (queued == QueuedFunctions::Drop)
                m_functions.clear();
        }
        m_condition.notify_one();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    using SteadyClock = std::chrono::steady_clock;

    void run()
    {
        auto lastTick = SteadyClock::now();
        while (auto function = nextFunction(lastTick + m_tickDelay())) {
            const bool isTick = !*function;
            if (isTick)
                lastTick = SteadyClock::now();
            isTick ? m_onTick() : (*function)();
        }
    }

    /// The next function. An empty one when `tickAt` has passed, however many are queued; nullopt once stopped.
    std::optional<Function> nextFunction(SteadyClock::time_point tickAt)
    {
        std::unique_lock lock { m_mutex };
        m_condition.wait_until(lock, tickAt, [this] { return m_isStopping || !m_functions.empty(); });
        if (m_isStopping && m_functions.empty())
            return std::nullopt;
        if (!m_isStopping && SteadyClock::now() >= tickAt)
            return Function {};
        if (m_functions.empty())
            return Function {};
        Function function = std::move(m_functions.front());
        m_functions.pop_front();
        return function;
    }

    TickDelay m_tickDelay;
    Function m_onTick;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<Function> m_functions;
    bool m_isStopping { false };
    std::thread m_thread;
};

} // namespace rattanrack::claims
