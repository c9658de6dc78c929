#include "allocations.h"
#include "roles.h"
#include "slope.h"

#include "rattanrack/base/metrics.h"
#include "rattanrack/policy/claim_shard.h"
#include "rattanrack/policy/fleet_planner.h"
#include "rattanrack/policy/traffic_core.h"

#include <string>

namespace rattanrack::capacity {

namespace {

using namespace policy;

constexpr int targetWorkers = 700;
constexpr int workersPerPool = 5;
constexpr int slotsPerWorker = 8;
constexpr int teams = 32;

ViewChanged viewOf(int workers)
{
    ViewChanged view;
    for (int i = 0; i < workers; ++i) {
        const PoolId pool { "pool-" + std::to_string(i / workersPerPool) };
        view.workers.push_back({ .id = VmId { "worker-" + std::to_string(i) },
            .pool = pool,
            .rack = RackId { "rack-" + std::to_string(i / 4) },
            .dataCenter = DataCenterId { "data-centre-" + std::to_string(i % 6) },
            .capacity = { Millicores { 16000 }, Mebibytes { 64000 }, Accelerators { 2 } },
            .slots = Slots { slotsPerWorker } });
        if (i % workersPerPool == 0) {
            view.kinds.push_back({ .kind = WorkKind { "kind-" + std::to_string(i / workersPerPool) }, .pool = pool });
            view.pools.push_back({ .pool = pool });
        }
    }
    for (int i = 0; i < teams; ++i)
        view.teams.push_back({ .team = TeamId { "team-" + std::to_string(i) } });
    return view;
}

RequestSpec request(int index, int pools, TimePoint now)
{
    const std::string pool = std::to_string(index % pools);
    return { .id = RequestId { "request-" + std::to_string(index) },
        .pool = PoolId { "pool-" + pool },
        .kind = WorkKind { "kind-" + pool },
        .team = TeamId { "team-" + std::to_string(index % teams) },
        .deadline = Deadline::after(now, std::chrono::seconds { 30 }),
        .declaredSize = { Millicores { 1000 }, Mebibytes { 1000 }, Accelerators { 0 } },
        .declaredRunTime = std::chrono::seconds { 1 } };
}

/// Processor seconds for a request that is submitted, dispatched and ended, one at a time.
double secondsPerRequest(TrafficPolicy& core, int pools, TimePoint& now)
{
    constexpr int requests = 5000;
    const double before = threadSeconds();
    for (int i = 0; i < requests; ++i) {
        now += std::chrono::milliseconds { 1 };
        const RequestSpec spec = request(i, pools, now);
        for (const TrafficDecision& decision : core.handle(Submit { spec }, now))
            if (const auto* dispatch = std::get_if<Dispatch>(&decision))
                core.handle(AttemptEnded { spec.id, dispatch->worker, AttemptEnd::Completed }, now);
    }
    return (threadSeconds() - before) / requests;
}

FleetSnapshot snapshotOf(int workers)
{
    FleetSnapshot snapshot;
    for (int i = 0; i < workers; ++i) {
        const VmId id { "worker-" + std::to_string(i) };
        const PoolId pool { "pool-" + std::to_string(i / workersPerPool) };
        VmRecord vm;
        vm.id = id;
        vm.pool = pool;
        vm.homePool = pool;
        vm.rack = RackId { "rack-" + std::to_string(i / 4) };
        vm.dataCenter = DataCenterId { "data-centre-" + std::to_string(i % 6) };
        vm.epoch = 1;
        vm.phase = VmPhase::Serving;
        vm.version = 1;
        snapshot.vms[id] = vm;
        snapshot.observations[id] = { 1, 1, false, 0, TimePoint { std::chrono::hours { 1 } } };
        snapshot.listed[id] = { id, vm.rack, vm.dataCenter, false };
        PoolRecord& record = snapshot.pools[pool];
        record.id = pool;
        record.settings = { workersPerPool, workersPerPool - 1, 1, 0, 0, FailureDomain::None, 1 };
        record.version = 1;
        ++record.counts.members;
        snapshot.settings[pool] = record.settings;
    }
    snapshot.hasList = true;
    snapshot.configVersion = 1;
    return snapshot;
}

std::vector<ClaimRow> claimRows(int records)
{
    constexpr int recordsPerRow = 10;
    std::vector<ClaimRow> rows;
    for (int i = 0; i < records; ++i) {
        if (i % recordsPerRow == 0)
            rows.push_back({ rows.size() + 1, {} });
        const std::string number = std::to_string(i);
        rows.back().claims.push_back(
            { IdempotencyKey { "order-0123456789-" + number }, 1, AttemptId { "node-1a2b3c4d#" + number },
                NodeId { "node-1a2b3c4d" }, ClaimState::Completed, std::string(100, 'x') });
    }
    return rows;
}

} // namespace

void measureClaims()
{
    constexpr double recordsPerNode = 1600; // 112 a second kept for 10 min, over 42 nodes
    const TimePoint now { std::chrono::hours { 1 } };
    std::vector<Sample> state;
    std::vector<Sample> time;
    for (const int records : { 2000, 6000, 18000 }) {
        const std::vector<ClaimRow> rows = claimRows(records);
        const std::int64_t before = liveBytes();
        ClaimShard shard(rows, std::chrono::hours { 1 }, now);
        state.push_back({ static_cast<double>(records), static_cast<double>(liveBytes() - before) });
        const double begin = threadSeconds();
        for (int i = 0; i < records; ++i) {
            Claim claim = rows.front().claims.front();
            claim.key = IdempotencyKey { "booking-0123456789-" + std::to_string(i) };
            claim.state = ClaimState::Claimed;
            shard.apply({ shard.nextSequence(), { shard.decide(claim).claim } }, now);
        }
        time.push_back({ static_cast<double>(records), 1e6 * (threadSeconds() - begin) / records });
    }
    report("claim_records_state", "bytes", state, recordsPerNode);
    report("claim_decision", "core_us", time, recordsPerNode);
}

void measureMetrics()
{
    constexpr int metricsPerPool = 8;
    constexpr double pools = 147;
    std::vector<Sample> state;
    std::vector<Sample> exposition;
    for (const int size : { 37, 74, 147 }) {
        const std::int64_t before = liveBytes();
        Metrics metrics;
        for (int pool = 0; pool < size; ++pool)
            for (int i = 0; i < metricsPerPool; ++i) {
                const MetricLabels labels { { "pool", "pool-" + std::to_string(pool) } };
                const std::string name = "rattanrack_metric_" + std::to_string(i);
                if (i == 0)
                    metrics.observe(name, labels, 1);
                else
                    metrics.increment(name, labels);
            }
        state.push_back({ static_cast<double>(size), static_cast<double>(liveBytes() - before) });
        const double begin = threadSeconds();
        metrics.exposition();
        exposition.push_back({ static_cast<double>(size), 1e6 * (threadSeconds() - begin) });
    }
    report("metrics_state_8_a_pool", "bytes", state, pools);
    report("metrics_exposition", "core_us", exposition, pools);
}

void measureTrafficAndFleet()
{
    std::vector<Sample> viewState;
    std::vector<Sample> requestTime;
    std::vector<Sample> snapshotState;
    std::vector<Sample> planTime;
    for (const int workers : { 175, 350, 700 }) {
        TimePoint now { std::chrono::hours { 1 } };
        const ViewChanged view = viewOf(workers);
        std::int64_t before = liveBytes();
        const auto core = createTrafficCore(1);
        core->handle(PeersChanged { NodeId { "n1" }, { NodeId { "n1" } } }, now);
        core->handle(view, now);
        viewState.push_back({ static_cast<double>(workers), static_cast<double>(liveBytes() - before) });
        requestTime.push_back(
            { static_cast<double>(workers), 1e6 * secondsPerRequest(*core, workers / workersPerPool, now) });

        before = liveBytes();
        const FleetSnapshot snapshot = snapshotOf(workers);
        snapshotState.push_back({ static_cast<double>(workers), static_cast<double>(liveBytes() - before) });
        FleetPlanner planner { NodeId { "n1" } };
        constexpr int rounds = 20;
        const double begin = threadSeconds();
        for (int i = 0; i < rounds; ++i)
            planner.plan(snapshot, TimePoint { std::chrono::hours { 1 } + std::chrono::milliseconds { i } });
        planTime.push_back({ static_cast<double>(workers), 1e6 * (threadSeconds() - begin) / rounds });
    }
    report("traffic_view_state", "bytes", viewState, targetWorkers);
    report("traffic_request", "core_us", requestTime, targetWorkers);
    report("fleet_snapshot_state", "bytes", snapshotState, targetWorkers);
    report("fleet_plan_round", "core_us", planTime, targetWorkers);

    std::vector<Sample> queued;
    for (const int size : { 100, 300, 900 }) {
        const TimePoint now { std::chrono::hours { 1 } };
        const auto core = createTrafficCore(1);
        ViewChanged view = viewOf(workersPerPool);
        core->handle(view, now);
        const std::int64_t before = liveBytes();
        for (int i = 0; i < size + workersPerPool * slotsPerWorker; ++i)
            core->handle(Submit { request(i, 1, now) }, now);
        queued.push_back({ static_cast<double>(size), static_cast<double>(liveBytes() - before) });
    }
    report("queued_requests_state", "bytes", queued, 1000);
}

} // namespace rattanrack::capacity
