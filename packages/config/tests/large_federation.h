#pragma once

#include "rattanrack/config/federation.h"

namespace rattanrack::config {

inline Pool largeFederationPool(std::size_t index)
{
    constexpr std::size_t kinds = 4;
    Pool pool;
    pool.id = PoolId { "pool-with-a-long-name-" + std::to_string(index) };
    pool.workers = 5;
    pool.minAvailable = 3;
    pool.mayLend = 1;
    for (std::size_t kind = 0; kind < kinds; ++kind)
        pool.kinds.push_back({ WorkKind { pool.id.value() + "-kind-" + std::to_string(kind) }, 1, 0.25, {} });
    return pool;
}

/// 147 pools, 32 teams and 6 data centres, where each site differs in every limit of every pool.
inline Federation largeFederation()
{
    Federation federation;
    federation.name = "large";
    federation.sharedBudget = 100;
    for (std::size_t index = 0; index < 32; ++index)
        federation.teams.push_back({ TeamId { "team-" + std::to_string(index) }, 1 });
    for (std::size_t index = 0; index < 147; ++index)
        federation.pools.push_back(largeFederationPool(index));
    federation.sparePool = federation.pools.front().id;
    for (std::size_t index = 0; index < 6; ++index) {
        Site site { DataCenterId { "dc-" + std::to_string(index) }, RegionId { "region" }, federation.pools };
        for (Pool& pool : site.pools) {
            pool.workers = 4;
            pool.minAvailable = 2;
            pool.maxPlannedDown = 2;
            pool.mayBorrow = 3;
            pool.mayLend = 2;
            pool.maxQueued = 300;
            pool.maxQueuedBytes = 1U << 20U;
            pool.maxEjectedShare = 0.25;
            pool.retryBudget = 0.05;
        }
        federation.sites.push_back(std::move(site));
    }
    return federation;
}

} // namespace rattanrack::config
