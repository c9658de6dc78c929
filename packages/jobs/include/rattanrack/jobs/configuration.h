#pragma once

#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::jobs {

/// Requests whose host is `host` and whose path begins with `pathPrefix` belong to the queue.
struct Route {
    std::string host;
    std::string pathPrefix;
    QueueSettings queue;

    friend bool operator==(const Route&, const Route&) = default;
};

struct PoolSettings {
    PoolId id;
    bool isStandby { false }; ///< Its machines are off and cost nothing.

    friend bool operator==(const PoolSettings&, const PoolSettings&) = default;
};

/// What the operators have put in force.
struct Configuration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<PoolSettings> pools;
    std::size_t maxBodyBytes { std::size_t { 256 } * 1024 };

    /// The route of a request: the longest prefix wins. Null: none. Lives as long as this object.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /// Pools that queues send their work to, ascending.
    std::vector<PoolId> cellPools() const;
    std::vector<QueueSettings> queuesOf(const PoolId& pool) const;
};

/// Maintenance that operators ask for.
struct MaintenanceWave {
    std::int64_t number { 0 };
    std::vector<MachineId> machines;
    Duration timeLimit {}; ///< From its arrival on.
    int maxAtOnce { 1 };

    friend bool operator==(const MaintenanceWave&, const MaintenanceWave&) = default;
};

} // namespace rattanrack::jobs
