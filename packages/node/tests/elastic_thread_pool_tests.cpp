#include "rattanrack/node/elastic_thread_pool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <system_error>

using namespace rattanrack::node;

namespace {

/// Starts threads until `limit` have been started, as a machine that runs out of threads.
class LimitedThreads {
public:
    explicit LimitedThreads(int limit)
        : m_left(limit)
    {
    }

    ElasticThreadPool::StartThread starter()
    {
        return [this](ElasticThreadPool::Work work) {
            if (m_left-- <= 0)
                throw std::system_error(std::make_error_code(std::errc::resource_unavailable_try_again));
            return std::thread(std::move(work));
        };
    }

private:
    std::atomic<int> m_left;
};

} // namespace

TEST(ElasticThreadPool, WorkIsRejectedWhenNoThreadCanBeStartedForIt)
{
    LimitedThreads threads { 1 };
    ElasticThreadPool pool { 4, 100, threads.starter() };
    std::promise<void> release;
    std::promise<void> started;
    ASSERT_TRUE(pool.submit([&] {
        started.set_value();
        release.get_future().wait();
    }));
    started.get_future().wait();
    std::atomic<bool> hasRun { false };
    EXPECT_FALSE(pool.submit([&] { hasRun = true; }));
    release.set_value();
    pool.shutdown();
    EXPECT_FALSE(hasRun);
}

TEST(ElasticThreadPool, IdleThreadServesLaterWork)
{
    LimitedThreads threads { 1 };
    ElasticThreadPool pool { 4, 100, threads.starter() };
    for (int number = 0; number < 3; ++number) {
        std::promise<void> done;
        // Between the end of one piece of work and the next wait, the only thread is not idle yet.
        while (!pool.submit([&] { done.set_value(); }))
            std::this_thread::yield();
        done.get_future().wait();
    }
}
