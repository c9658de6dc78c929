#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/node/delay_summary.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rattanrack::node {

/// The single thread that owns all control state. Other threads pass work to it with `post`; the loop runs that work in
/// the order of posting, and timers when they are due.
///
///     loop.post([&] { core->handle(event, clock.now()); });
///     loop.at(Deadline::after(clock.now(), 1s), [&] { refresh(); });
class ControlLoop {
public:
    using Work = std::function<void()>;

    explicit ControlLoop(const Clock& clock);

    /// Stops the thread; work that has not started is dropped.
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    /// Queues work. Never blocks. Thread-safe.
    void post(Work work);

    /// Runs `work` once, when `deadline` has passed. Thread-safe.
    void at(Deadline deadline, Work work);

    /// Runs `work` on the control thread and waits until it has finished. Must not be called on the control thread.
    void run(const Work& work);

    /// Returns the delays of the work that was started since the last call, each counted from the time at which the
    /// work was posted or due. Control thread only.
    DelaySummary takeDelays();

    /// Stops the thread after the work that it is running. Later posts are dropped.
    void stop();

private:
    struct Timer {
        Deadline deadline;
        std::uint64_t sequence { 0 };
        Work work;
    };

    struct DueWork {
        TimePoint dueAt;
        Work work;
    };

    void loop();
    std::vector<DueWork> waitForWork();
    void takeDueTimers(std::vector<DueWork>& due);
    static bool firesLater(const Timer& left, const Timer& right);

    const Clock& m_clock;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<DueWork> m_queue;
    std::vector<Timer> m_timers; ///< A heap; the next to fire is at the front.
    std::uint64_t m_nextSequence { 0 };
    bool m_isStopping { false };
    DelaySummary m_delays; ///< Control thread only.
    std::thread m_thread;
};

} // namespace rattanrack::node
