#include "rattanrack/jobs/customer_keys.h"

#include <benchmark/benchmark.h>

using namespace rattanrack::jobs;

/// Time to find the customer of a key, by the number of keys.
namespace {

constexpr int keysOfACustomer = 4;
constexpr std::uint64_t seed = 7;

std::string keyOf(std::int64_t number) { return "key-of-twenty-bytes-" + std::to_string(number); }

CustomerKeys keysOf(std::int64_t count)
{
    std::vector<CustomerKey> keys;
    keys.reserve(static_cast<std::size_t>(count));
    for (std::int64_t number = 0; number < count; ++number)
        keys.push_back({ keyOf(number), CustomerId { "customer-" + std::to_string(number / keysOfACustomer) } });
    return CustomerKeys { keys, seed };
}

void BM_FindKey(benchmark::State& state)
{
    const CustomerKeys keys = keysOf(state.range(0));
    const std::string known = keyOf(state.range(0) / 2);
    for (auto _ : state)
        benchmark::DoNotOptimize(keys.find(known));
}

void BM_FindUnknownKey(benchmark::State& state)
{
    const CustomerKeys keys = keysOf(state.range(0));
    const std::string unknown = keyOf(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(keys.find(unknown));
}

} // namespace

BENCHMARK(BM_FindKey)->Arg(40)->Arg(10'000);
BENCHMARK(BM_FindUnknownKey)->Arg(40)->Arg(10'000);
BENCHMARK_MAIN();
