#pragma once

#include "rattanrack/jobs/customer_keys.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::jobs {

/// Assigns requests to `host` whose path begins with `pathPrefix` to a queue.
struct Route {
    std::string host;
    std::string pathPrefix;
    QueueSettings queue;
    bool allowsAnonymousCalls { false }; ///< Calls need no key.

    friend bool operator==(const Route&, const Route&) = default;
};

/// Returns where callers reach the queue of the route, short enough for the key of a row.
QueueAddress queueAddressOf(const Route& route);

/// The pool that serves each queue.
using QueueRoutes = std::map<QueueAddress, PoolId>;

struct PoolSettings {
    PoolId id;
    bool isStandby { false }; ///< Its machines are off and cost nothing.
    bool enforcesCapacity { false }; ///< Its workers refuse a start that does not fit.

    friend bool operator==(const PoolSettings&, const PoolSettings&) = default;
};

/// The configuration that operators have put in force.
struct Configuration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<PoolSettings> pools;
    std::vector<Customer> customers;
    /// Null: no customers are configured, and no call needs a key.
    std::shared_ptr<const CustomerKeys> keys;
    std::size_t maxBodyBytes { std::size_t { 256 } * 1024 };

    /// Returns the matching route with the longest prefix, or null. The pointer is valid for the lifetime of this
    /// object.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /// Pools that at least one queue uses, in ascending order.
    std::vector<PoolId> cellPools() const;
    QueueRoutes queueRoutes() const;
    std::vector<QueueSettings> queuesOf(const PoolId& pool) const;

    bool hasPool(const PoolId& pool) const;

    /// Whether the pool's workers refuse a start that does not fit.
    bool enforcesCapacity(const PoolId& pool) const;
};

/// Maintenance of a set of machines, as requested by operators.
struct MaintenanceWave {
    std::int64_t number { 0 };
    std::vector<MachineId> machines;
    Duration timeLimit {}; ///< Counted from the wave's arrival.
    int maxAtOnce { 1 };

    friend bool operator==(const MaintenanceWave&, const MaintenanceWave&) = default;
};

} // namespace rattanrack::jobs
