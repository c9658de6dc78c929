#include "rattanrack/jobs/cell_queues.h"

#include <benchmark/benchmark.h>

#include <string>

/// Cost of the look at the queues that a cell's owner takes in each pass, by the number of queues of all cells.
namespace {

using namespace rattanrack;
using namespace rattanrack::jobs;

constexpr int cells = 5;
constexpr std::uint64_t version = 7;

PoolId cellNumbered(int number) { return PoolId { "pool-" + std::to_string(number % cells) }; }

CellQueues cellWithQueues(int count)
{
    auto routes = std::make_shared<QueueRoutes>();
    QueueAssignments assignments { {}, static_cast<RowVersion>(count) };
    for (int number = 0; number < count; ++number) {
        const QueueAddress queue { "host.example/prefix-of-queue-" + std::to_string(number) + '/' };
        const PoolId cell = cellNumbered(number);
        routes->emplace(queue, cell);
        assignments.byQueue[queue] = { cell, version, {}, static_cast<RowVersion>(number + 1) };
    }
    CellQueues queues { cellNumbered(0), {} };
    queues.configure(version + 1, routes);
    queues.setAssignments(assignments);
    return queues;
}

void BM_QueuesToCloseAndToClaim(benchmark::State& state)
{
    CellQueues queues = cellWithQueues(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(queues.queuesToClose().size());
        benchmark::DoNotOptimize(queues.queuesToClaim().size());
    }
}

} // namespace

BENCHMARK(BM_QueuesToCloseAndToClaim)->Arg(8)->Arg(120)->Arg(1000);

BENCHMARK_MAIN();
