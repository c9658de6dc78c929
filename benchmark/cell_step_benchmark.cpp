#include "overloaded_cell.h"

#include <benchmark/benchmark.h>

#include <ctime>

using namespace rattanrack::jobs::tests;

/// What a cell's decisions cost its owner in a flood, by the number of workers.
namespace {

constexpr int waitingJobs = 400;
constexpr int endedJobs = 4000;

/// Processor time of this thread, in seconds: other work on the machine does not count.
double processorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

OverloadedCell flooded(const benchmark::State& state)
{
    OverloadedCell flood({ static_cast<int>(state.range(0)), waitingJobs, endedJobs });
    flood.warmUp();
    return flood;
}

void BM_StepWithNothingNew(benchmark::State& state)
{
    OverloadedCell flood = flooded(state);
    flood.advanceWithoutInput(); // What the last tick has brought is decided.
    for (auto _ : state)
        flood.advanceWithoutInput();
}

/// A step each 10 ms; the time is that of the cell alone.
void BM_FloodTick(benchmark::State& state)
{
    OverloadedCell flood = flooded(state);
    const std::int64_t startedBefore = flood.startedRuns();
    double time = 0;
    for (auto _ : state) {
        flood.tick([&](const auto& cellPart) {
            const double before = processorTime();
            cellPart();
            const double taken = processorTime() - before;
            time += taken;
            state.SetIterationTime(taken);
        });
    }
    const auto started = static_cast<double>(flood.startedRuns() - startedBefore);
    state.counters["us_a_subtask"] = time * 1e6 / started;
    state.counters["subtasks_a_tick"] = started / static_cast<double>(state.iterations());
    state.counters["decisions"] = static_cast<double>(flood.fingerprint() % 1'000'000); // The same: decided the same.
}

} // namespace

BENCHMARK(BM_StepWithNothingNew)->Arg(12)->Arg(32)->Arg(85)->Arg(350)->Unit(benchmark::kMicrosecond);
BENCHMARK(BM_FloodTick)
    ->Arg(12)
    ->Arg(32)
    ->Arg(85)
    ->Arg(350)
    ->Iterations(200)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
