#include "rattanrack/node/elastic_thread_pool.h"

namespace rattanrack::node {

ElasticThreadPool::ElasticThreadPool(std::size_t maxThreads, std::size_t maxQueued)
    : m_maxThreads(maxThreads)
    , m_maxQueued(maxQueued)
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
        if (m_queue.size() > m_idleThreads && m_threads.size() < m_maxThreads)
            m_threads.emplace_back([this] { runThread(); });
    }
    m_hasWork.notify_one();
    return true;
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
