#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace rattanrack::node {

/// A thread pool for blocking work. The pool grows with the work up to a maximum; its threads stay once started. Work
/// beyond the maximum waits in a queue, which is bounded too.
class ElasticThreadPool {
public:
    using Work = std::function<void()>;
    /// Starts a thread that carries out the work. Throws std::system_error if the machine has no thread left.
    using StartThread = std::function<std::thread(Work)>;

    /// At most `maxThreads` threads and `maxQueued` queued pieces of work; both at least 1.
    ElasticThreadPool(std::size_t maxThreads, std::size_t maxQueued, StartThread startThread = startSystemThread);

    /// Waits until all accepted work has ended.
    ~ElasticThreadPool();
    ElasticThreadPool(const ElasticThreadPool&) = delete;
    ElasticThreadPool& operator=(const ElasticThreadPool&) = delete;

    /// Returns false and drops `work` if the queue is full, the pool is shutting down, or all threads are busy and no
    /// further one can be started.
    [[nodiscard]] bool submit(Work work);

    /// Rejects further work, and returns when all accepted work has ended.
    void shutdown();

private:
    static std::thread startSystemThread(Work work) { return std::thread(std::move(work)); }
    bool startThread();
    void runThread();

    const std::size_t m_maxThreads;
    const std::size_t m_maxQueued;
    const StartThread m_startThread;
    std::mutex m_mutex;
    std::condition_variable m_hasWork;
    std::deque<Work> m_queue;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads { 0 };
    bool m_isShutDown { false };
};

} // namespace rattanrack::node
