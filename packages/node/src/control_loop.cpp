#include "rattanrack/node/control_loop.h"

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace rattanrack::node {

ControlLoop::ControlLoop(const Clock& clock)
    : m_clock(clock)
    , m_thread([this] { loop(); })
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::post(Work work)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return;
        m_queue.push_back({ m_clock.now(), std::move(work) });
    }
    m_wakeUp.notify_one();
}

void ControlLoop::at(Deadline deadline, Work work)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return;
        m_timers.push_back({ deadline, m_nextSequence++, std::move(work) });
        std::push_heap(m_timers.begin(), m_timers.end(), firesLater);
    }
    m_wakeUp.notify_one();
}

void ControlLoop::run(const Work& work)
{
    auto isDone = std::make_shared<std::promise<void>>();
    auto done = isDone->get_future();
    post([&work, isDone = std::move(isDone)] {
        work();
        isDone->set_value();
    });
    // A stopped loop drops the work and the promise with it, which ends the wait with a broken promise.
    done.wait();
}

void ControlLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_one();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
        m_thread.join();
    const std::lock_guard lock(m_mutex);
    m_queue.clear();
    m_timers.clear();
}

void ControlLoop::loop()
{
    while (true) {
        std::vector<DueWork> due = waitForWork();
        if (due.empty())
            return;
        for (DueWork& each : due) {
            m_delays.observe(m_clock.now() - each.dueAt);
            each.work();
            each.work = nullptr;
        }
    }
}

DelaySummary ControlLoop::takeDelays() { return std::exchange(m_delays, {}); }

std::vector<ControlLoop::DueWork> ControlLoop::waitForWork()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        std::vector<DueWork> due;
        due.swap(m_queue);
        takeDueTimers(due);
        if (!due.empty())
            return due;
        if (m_timers.empty())
            m_wakeUp.wait(lock);
        else
            m_wakeUp.wait_for(lock, m_timers.front().deadline.remaining(m_clock.now()));
    }
    return {};
}

void ControlLoop::takeDueTimers(std::vector<DueWork>& due)
{
    const TimePoint now = m_clock.now();
    while (!m_timers.empty() && m_timers.front().deadline.hasPassed(now)) {
        std::pop_heap(m_timers.begin(), m_timers.end(), firesLater);
        Timer& timer = m_timers.back();
        due.push_back({ timer.deadline.at(), std::move(timer.work) });
        m_timers.pop_back();
    }
}

bool ControlLoop::firesLater(const Timer& left, const Timer& right)
{
    return std::pair { left.deadline, left.sequence } > std::pair { right.deadline, right.sequence };
}

} // namespace rattanrack::node
