#include "allocations.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

std::atomic<std::int64_t>& liveCount()
{
    static std::atomic<std::int64_t> s_live { 0 };
    return s_live;
}

} // namespace

void* operator new(std::size_t size)
{
    void* memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc {};
    liveCount().fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    return memory;
}

void operator delete(void* memory) noexcept
{
    if (memory)
        liveCount().fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }

namespace rattanrack::capacity {

std::int64_t liveBytes() { return liveCount().load(std::memory_order_relaxed); }

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double nanoseconds = 1e-9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * nanoseconds;
}

} // namespace rattanrack::capacity
