#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rattanrack::node {

/// Threads for blocking work. Grows with the work up to a bound; threads stay once started. Work beyond the bound waits
/// in a queue that is bounded too.
class ElasticThreadPool {
public:
    using Work = std::function<void()>;

    /// At most `maxThreads` threads and `maxQueued` waiting pieces of work; both at least 1.
    ElasticThreadPool(std::size_t maxThreads, std::size_t maxQueued);

    /// Waits until all accepted work has ended.
    ~ElasticThreadPool();
    ElasticThreadPool(const ElasticThreadPool&) = delete;
    ElasticThreadPool& operator=(const ElasticThreadPool&) = delete;

    /// False when the queue is full or the pool is shutting down; `work` is then dropped.
    [[nodiscard]] bool submit(Work work);

    /// Takes no more work, and returns when all accepted work has ended.
    void shutdown();

private:
    void runThread();

    const std::size_t m_maxThreads;
    const std::size_t m_maxQueued;
    std::mutex m_mutex;
    std::condition_variable m_hasWork;
    std::deque<Work> m_queue;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads { 0 };
    bool m_isShutDown { false };
};

} // namespace rattanrack::node
