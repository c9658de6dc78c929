#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rattanrack::node {

/// A thread pool for blocking work. The pool grows with the work up to a maximum; its threads stay once started. Work
/// beyond the maximum waits in a queue, which is bounded too.
class ElasticThreadPool {
public:
    using Work = std::function<void()>;

    /// At most `maxThreads` threads and `maxQueued` queued pieces of work; both at least 1.
    ElasticThreadPool(std::size_t maxThreads, std::size_t maxQueued);

    /// Waits until all accepted work has ended.
    ~ElasticThreadPool();
    ElasticThreadPool(const ElasticThreadPool&) = delete;
    ElasticThreadPool& operator=(const ElasticThreadPool&) = delete;

    /// Returns false and drops `work` if the queue is full or the pool is shutting down.
    [[nodiscard]] bool submit(Work work);

    /// Rejects further work, and returns when all accepted work has ended.
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
