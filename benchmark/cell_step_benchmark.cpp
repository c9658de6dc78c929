#include "overloaded_cell.h"

#include <benchmark/benchmark.h>

#include <ctime>

using namespace rattanrack::jobs::tests;

/// Cost of the decisions of an overloaded cell, by the number of workers.
namespace {

constexpr int waitingJobs = 400;
constexpr int endedJobs = 4000;

/// Processor time of this thread in seconds, which excludes other work on the machine.
double processorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

OverloadedCell overloadedCell(const benchmark::State& state)
{
    OverloadedCell cell({ static_cast<int>(state.range(0)), waitingJobs, endedJobs });
    cell.warmUp();
    return cell;
}

void BM_StepWithNothingNew(benchmark::State& state)
{
    OverloadedCell cell = overloadedCell(state);
    cell.advanceWithoutInput(); // Processes the results of the last tick.
    for (auto _ : state)
        cell.advanceWithoutInput();
}

/// One tick every 10 ms; the time is that of the cell alone.
void BM_FloodTick(benchmark::State& state)
{
    OverloadedCell cell = overloadedCell(state);
    const std::int64_t startedBefore = cell.startedRuns();
    double time = 0;
    for (auto _ : state) {
        cell.tick([&](const auto& runCellPart) {
            const double before = processorTime();
            runCellPart();
            const double taken = processorTime() - before;
            time += taken;
            state.SetIterationTime(taken);
        });
    }
    const auto started = static_cast<double>(cell.startedRuns() - startedBefore);
    state.counters["us_a_subtask"] = time * 1e6 / started;
    state.counters["subtasks_a_tick"] = started / static_cast<double>(state.iterations());
    // Equal values mean equal decisions.
    state.counters["decisions"] = static_cast<double>(cell.fingerprint() % 1'000'000);
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
