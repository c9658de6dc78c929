#include "rattanrack/config/diff.h"
#include "rattanrack/config/load.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace rattanrack;
using namespace rattanrack::config;

namespace {

template <typename Number> Number between(Number least, Number end) { return *rc::gen::inRange(least, end); }

double share() { return between(0, 1001) / 1000.0; }

void chooseLimits(Pool& pool)
{
    pool.workers = between(1U, 100U);
    pool.minAvailable = between(0U, pool.workers + 1);
    pool.maxPlannedDown = between(0U, pool.workers - pool.minAvailable + 1);
    pool.mayLend = between(0U, pool.workers - pool.minAvailable + 1);
    pool.maxQueued = between(1U, 1'000'000U);
    pool.maxQueuedBytes = between<std::uint64_t>(1024, 1U << 30U);
    pool.maxEjectedShare = share();
    pool.retryBudget = share();
}

Kind chooseKind(std::size_t pool, std::size_t index, std::size_t kindCount)
{
    Kind kind;
    kind.id = WorkKind { "kind-" + std::to_string(pool) + "-" + std::to_string(index) };
    kind.weight = between(1, 100'000) / 100.0;
    kind.floorShare = share() / static_cast<double>(kindCount);
    kind.objective.target = between(1, 1000) / 1000.0;
    kind.objective.urgentLatency = Duration { between<Duration::rep>(1000, 10'000'000) };
    kind.objective.normalLatency = kind.objective.urgentLatency + Duration { between<Duration::rep>(0, 10'000'000) };
    kind.objective.backgroundLatency = kind.objective.normalLatency;
    return kind;
}

Pool choosePool(std::size_t index)
{
    Pool pool;
    pool.id = PoolId { "pool-" + std::to_string(index) };
    chooseLimits(pool);
    const auto kindCount = between<std::size_t>(0, 4);
    for (std::size_t kind = 0; kind < kindCount; ++kind)
        pool.kinds.push_back(chooseKind(index, kind, kindCount));
    return pool;
}

Site chooseSite(std::size_t index, const std::vector<Pool>& pools)
{
    Site site;
    site.dataCenter = DataCenterId { "dc-" + std::to_string(index) };
    site.region = RegionId { "region-" + std::to_string(between(0, 2)) };
    site.pools = pools;
    for (Pool& pool : site.pools) {
        if (between(0, 2) == 0)
            chooseLimits(pool);
    }
    return site;
}

Federation chooseFederation()
{
    Federation federation;
    federation.name = "federation-" + std::to_string(between(0, 10));
    federation.weights = { share(), share(), share() * 1000, share() };
    const auto teamCount = between<std::size_t>(0, 4);
    for (std::size_t index = 0; index < teamCount; ++index)
        federation.teams.push_back({ TeamId { "team-" + std::to_string(index) }, between(1, 1000) / 7.0 });
    const auto poolCount = between<std::size_t>(1, 5);
    std::uint32_t lendable = 0;
    for (std::size_t index = 0; index < poolCount; ++index) {
        federation.pools.push_back(choosePool(index));
        lendable += federation.pools.back().mayLend;
    }
    federation.sharedBudget = between(0U, lendable + 1);
    for (Pool& pool : federation.pools)
        pool.mayBorrow = between(0U, federation.sharedBudget + 1);
    federation.sparePool = federation.pools[between<std::size_t>(0, poolCount)].id;
    const auto siteCount = between<std::size_t>(0, 4);
    for (std::size_t index = 0; index < siteCount; ++index)
        federation.sites.push_back(chooseSite(index, federation.pools));
    return federation;
}

} // namespace

RC_GTEST_PROP(RoundTrip, ParseOfSerializeIsTheSame, ())
{
    const Federation federation = chooseFederation();
    const auto parsed = parse(serialize(federation));
    if (!parsed.isValid())
        RC_FAIL(describe(parsed.diagnostics()) + serialize(federation));
    RC_ASSERT(parsed.value() == federation);
    RC_ASSERT(serialize(parsed.value()) == serialize(federation));
}

RC_GTEST_PROP(RoundTrip, DiffIsEmptyExactlyForEqualFederations, ())
{
    const Federation left = chooseFederation();
    const Federation right = chooseFederation();
    RC_ASSERT(diff(left, left).empty());
    RC_ASSERT(diff(left, right).empty() == (left == right));
    RC_ASSERT(diff(left, right).size() == diff(right, left).size());
}

RC_GTEST_PROP(RoundTrip, DiffSeesOneChangedLimit, ())
{
    const Federation before = chooseFederation();
    Federation after = before;
    const auto index = between<std::size_t>(0, after.pools.size());
    after.pools[index].maxQueued += 1;
    for (Site& site : after.sites)
        site.pools[index].maxQueued = after.pools[index].maxQueued;
    const auto changes = diff(before, after);
    const auto isThePool
        = [&](const Change& change) { return change.path == "pools." + after.pools[index].id.value() + ".maxQueued"; };
    RC_ASSERT(std::count_if(changes.begin(), changes.end(), isThePool) == 1);
}
