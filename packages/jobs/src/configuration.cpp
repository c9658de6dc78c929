#include "rattanrack/jobs/configuration.h"

#include "row_key.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanrack::jobs {

namespace {

constexpr std::size_t maxKeyLength = 160; ///< In bytes; the keys of rows are limited.

} // namespace

std::string rowKeyOf(const std::string& text)
{
    if (text.size() <= maxKeyLength)
        return text;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return "hash-" + std::to_string(hash.high64) + '-' + std::to_string(hash.low64);
}

QueueAddress queueAddressOf(const Route& route) { return QueueAddress { rowKeyOf(route.host + route.pathPrefix) }; }

QueueRoutes Configuration::queueRoutes() const
{
    QueueRoutes pools;
    for (const Route& route : routes)
        pools[queueAddressOf(route)] = route.queue.pool;
    return pools;
}

const Route* Configuration::findRoute(std::string_view host, std::string_view path) const
{
    const Route* best = nullptr;
    for (const Route& route : routes) {
        const bool isMatch = route.host == host && path.starts_with(route.pathPrefix);
        if (isMatch && (!best || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best;
}

std::vector<PoolId> Configuration::cellPools() const
{
    std::vector<PoolId> ids;
    for (const Route& route : routes)
        ids.push_back(route.queue.pool);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

std::vector<QueueSettings> Configuration::queuesOf(const PoolId& pool) const
{
    std::vector<QueueSettings> queues;
    for (const Route& route : routes) {
        if (route.queue.pool == pool)
            queues.push_back(route.queue);
    }
    return queues;
}

bool Configuration::hasPool(const PoolId& pool) const
{
    return std::any_of(pools.begin(), pools.end(), [&](const PoolSettings& each) { return each.id == pool; });
}

bool Configuration::enforcesCapacity(const PoolId& pool) const
{
    return std::any_of(
        pools.begin(), pools.end(), [&](const PoolSettings& each) { return each.id == pool && each.enforcesCapacity; });
}

} // namespace rattanrack::jobs
