#include "large_federation.h"

#include "rattanrack/config/diff.h"
#include "rattanrack/config/load.h"

#include <benchmark/benchmark.h>

using namespace rattanrack::config;

namespace {

void BM_Serialize(benchmark::State& state)
{
    const Federation federation = largeFederation();
    for (auto _ : state)
        benchmark::DoNotOptimize(serialize(federation));
    state.counters["bytes"] = static_cast<double>(serialize(federation).size());
}

void BM_Parse(benchmark::State& state)
{
    const std::string document = serialize(largeFederation());
    for (auto _ : state)
        benchmark::DoNotOptimize(parse(document));
}

void BM_Diff(benchmark::State& state)
{
    const Federation before = largeFederation();
    Federation after = before;
    after.pools.front().maxQueued += 1;
    for (auto _ : state)
        benchmark::DoNotOptimize(diff(before, after));
}

} // namespace

BENCHMARK(BM_Serialize)->Unit(benchmark::kMillisecond);
BENCHMARK(BM_Parse)->Unit(benchmark::kMillisecond);
BENCHMARK(BM_Diff)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
