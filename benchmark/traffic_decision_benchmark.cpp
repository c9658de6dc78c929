#include "rattanrack/policy/traffic_core.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t slotsPerWorker = 8;

ViewChanged view(std::int64_t workers, std::int64_t pools)
{
    ViewChanged event;
    for (std::int64_t index = 0; index < workers; ++index) {
        event.workers.push_back({ .id = VmId { "worker-" + std::to_string(10'000 + index) },
            .pool = PoolId { "pool-" + std::to_string(1'000 + index % pools) },
            .rack = RackId { "rack-" + std::to_string(index / 4) },
            .dataCenter = DataCenterId { "dc-" + std::to_string(index % 6) },
            .capacity = { Millicores { 16'000 }, Mebibytes { 64'000 }, Accelerators { 0 } },
            .slots = Slots { slotsPerWorker } });
    }
    for (std::int64_t pool = 0; pool < pools; ++pool) {
        const PoolId id { "pool-" + std::to_string(1'000 + pool) };
        event.kinds.push_back(
            { .kind = WorkKind { id.value() + "-check" }, .pool = id, .weight = 4, .floorShare = 0.2 });
        event.kinds.push_back({ .kind = WorkKind { id.value() + "-plan" }, .pool = id });
        event.pools.push_back({ .pool = id, .maxQueued = 100'000, .maxQueuedBytes = 1U << 30U });
    }
    return event;
}

class Driver {
public:
    Driver(std::int64_t workers, std::int64_t pools)
        : m_pools(pools)
    {
        m_core->handle(view(workers, pools), m_now);
    }

    RequestSpec nextSpec()
    {
        const std::uint64_t number = m_number++;
        const PoolId pool { "pool-" + std::to_string(1'000 + number % static_cast<std::uint64_t>(m_pools)) };
        return { .id = RequestId { "request-" + std::to_string(number) },
            .pool = pool,
            .kind = WorkKind { pool.value() + "-plan" },
            .team = TeamId { "team-" + std::to_string(number % 32) },
            .deadline = Deadline::after(m_now, 1h),
            .declaredSize = { Millicores { 1'000 }, Mebibytes { 1'000 }, Accelerators { 0 } },
            .declaredRunTime = 1ms,
            .bytes = 1'000 };
    }

    /// Seconds that the core takes for the events.
    double timed(const std::vector<TrafficEvent>& events)
    {
        std::vector<TrafficDecisions> decisions;
        decisions.reserve(events.size());
        const auto begin = std::chrono::steady_clock::now();
        for (const auto& event : events)
            decisions.push_back(m_core->handle(event, m_now));
        const auto end = std::chrono::steady_clock::now();
        for (const auto& some : decisions)
            remember(some);
        return std::chrono::duration<double>(end - begin).count();
    }

    std::vector<TrafficEvent> takeEnds(std::size_t count)
    {
        std::vector<TrafficEvent> ends;
        while (ends.size() < count && !m_running.empty()) {
            ends.emplace_back(
                AttemptEnded { m_running.front().request, m_running.front().worker, AttemptEnd::Completed });
            m_running.pop_front();
        }
        return ends;
    }

    void advance() { m_now += 1ms; }

private:
    void remember(const TrafficDecisions& decisions)
    {
        for (const auto& decision : decisions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&decision))
                m_running.push_back(*dispatch);
        }
    }

    std::int64_t m_pools;
    TimePoint m_now {};
    std::uint64_t m_number { 0 };
    std::deque<Dispatch> m_running;
    std::unique_ptr<TrafficPolicy> m_core = createTrafficCore(1);
};

/// Admission and placement of one request while slots are free. Arguments: workers, pools.
void BM_admitAndPlace(benchmark::State& state)
{
    constexpr std::size_t batch = 64;
    Driver driver { state.range(0), state.range(1) };
    for (auto _ : state) {
        std::vector<TrafficEvent> submits;
        for (std::size_t count = 0; count < batch; ++count)
            submits.emplace_back(Submit { driver.nextSpec() });
        state.SetIterationTime(driver.timed(submits) / batch);
        driver.timed(driver.takeEnds(batch));
        driver.advance();
    }
}
BENCHMARK(BM_admitAndPlace)
    ->Args({ 50, 5 })
    ->Args({ 700, 147 })
    ->Args({ 10, 1 })
    ->Args({ 70, 1 })
    ->Args({ 700, 1 })
    ->UseManualTime()
    ->Iterations(5'000);

/// One end of an attempt and the placement of the next of a long queue. Arguments: workers, pools, queued.
void BM_endAndPlaceNext(benchmark::State& state)
{
    constexpr std::size_t batch = 16;
    Driver driver { state.range(0), state.range(1) };
    std::vector<TrafficEvent> fill;
    for (std::int64_t count = 0; count < state.range(0) * slotsPerWorker + state.range(2); ++count)
        fill.emplace_back(Submit { driver.nextSpec() });
    driver.timed(fill);
    for (auto _ : state) {
        auto ends = driver.takeEnds(batch);
        state.SetIterationTime(driver.timed(ends) / batch);
        std::vector<TrafficEvent> submits;
        for (std::size_t count = 0; count < batch; ++count)
            submits.emplace_back(Submit { driver.nextSpec() });
        driver.timed(submits);
        driver.advance();
    }
}
BENCHMARK(BM_endAndPlaceNext)->Args({ 50, 5, 1'000 })->Args({ 700, 147, 10'000 })->UseManualTime()->Iterations(2'000);

/// One cancellation of a wave. Argument: queued requests, all of which are cancelled.
void BM_cancelWave(benchmark::State& state)
{
    const auto queued = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        Driver driver { 10, 1 };
        std::vector<TrafficEvent> submits;
        std::vector<TrafficEvent> cancels;
        for (std::size_t count = 0; count < queued + 10 * slotsPerWorker; ++count) {
            auto spec = driver.nextSpec();
            if (count >= 10 * slotsPerWorker)
                cancels.emplace_back(Cancel { spec.id });
            submits.emplace_back(Submit { std::move(spec) });
        }
        driver.timed(submits);
        state.SetIterationTime(driver.timed(cancels) / static_cast<double>(queued));
    }
}
BENCHMARK(BM_cancelWave)->Arg(1'000)->Arg(10'000)->Arg(50'000)->UseManualTime()->Iterations(3);

} // namespace

BENCHMARK_MAIN();
