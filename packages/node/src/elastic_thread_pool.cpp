#include "rattanrack/node/elastic_thread_pool.h"

#include "rattanrack/base/log.h"

#include <system_error>

namespace rattanrack::node {

ElasticThreadPool::ElasticThreadPool(std::size_t maxThreads, std::size_t maxQueued, StartThread startThread)
    : m_maxThreads(maxThreads)
    , m_maxQueued(maxQueued)
    , m_startThread(std::move(startThread))
{
}

ElasticThreadPool::~ElasticThreadPool() { shutdown(); }

bool ElasticThreadPool::submit(Work work)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isShutDown || m_queue.size() >= m_maxQueued)
            return false;
        m_queue.push_back(std::move(work));
        const bool needsThread = m_queue.size() > m_idleThreads && m_threads.size() < m_maxThreads;
        if (needsThread && !startThread()) {
            m_queue.pop_back();
            return false;
        }
    }
    m_hasWork.notify_one();
    return true;
}

/// Returns whether the machine had a thread left.
bool ElasticThreadPool::startThread()
{
    try {
        m_threads.push_back(m_startThread([this] { runThread(); }));
        return true;
    } catch (const std::system_error& error) {
        logEvent(
            "threads.exhausted", { { "threads", m_threads.size() }, { "error", error.what() } }, LogLevel::Warning);
        return false;
    }
}

void ElasticThreadPool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_isShutDown = true;
        threads.swap(m_threads);
    }
    m_hasWork.notify_all();
    for (std::thread& thread : threads)
        thread.join();
}

void ElasticThreadPool::runThread()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_hasWork.wait(lock, [this] { return m_isShutDown || !m_queue.empty(); });
        --m_idleThreads;
        if (m_queue.empty())
            return;
        Work work = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
}

} // namespace rattanrack::node
