#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration of a whole federation after the base and all overlays are merged and checked.
namespace rattanrack::config {

/// Weights of the four measures in the federation's total, 0 to 1000 each.
struct MeasureWeights {
    double bufferCost { 1 };
    double rollOutTime { 1 };
    double moves { 1 };
    double floodService { 1 };

    friend bool operator==(const MeasureWeights&, const MeasureWeights&) = default;
};

/// A group of callers with a part of every pool.
struct Team {
    TeamId id;
    double share { 1 }; ///< Part of a contended pool relative to the other teams' shares; above 0, up to 1000.

    friend bool operator==(const Team&, const Team&) = default;
};

/// Objective for one kind of work; its error budget is 1 - `target`.
struct Objective {
    double target { 0.99 }; ///< Part of requests that must be answered well, 0 to 1.
    Duration urgentLatency { std::chrono::seconds { 2 } }; ///< An urgent answer within this time counts as good.
    Duration normalLatency { std::chrono::seconds { 10 } };
    Duration backgroundLatency { std::chrono::minutes { 1 } };

    friend bool operator==(const Objective&, const Objective&) = default;
};

/// A kind of work. Belongs to exactly one pool.
struct Kind {
    WorkKind id;
    double weight { 1 }; ///< Weight of one answered request, above 0, up to 1000.
    double floorShare { 0 }; ///< Part of the pool's slots that the kind keeps during a flood of others, 0 to 1.
    Objective objective;

    friend bool operator==(const Kind&, const Kind&) = default;
};

/// A pool of VMs and its limits.
struct Pool {
    PoolId id;
    std::uint32_t workers { 0 }; ///< VMs that the pool has when nothing is borrowed.
    std::uint32_t minAvailable { 0 }; ///< Availability floor: workers that must serve at any moment.
    std::uint32_t maxPlannedDown { 1 }; ///< Workers that maintenance may take out at once.
    std::uint32_t mayBorrow { 0 }; ///< Workers that it may take beyond its own.
    std::uint32_t mayLend { 0 }; ///< Workers that it may give to others.
    std::uint32_t maxQueued { 1000 }; ///< Requests that one node holds waiting.
    std::uint64_t maxQueuedBytes { 16U << 20U }; ///< Payload bytes that one node holds waiting.
    double maxEjectedShare { 0.3 }; ///< Part of the workers that may be ejected as unhealthy, 0 to 1.
    double retryBudget { 0.1 }; ///< Retries for each first attempt, 0 to 1.
    std::vector<Kind> kinds;

    friend bool operator==(const Pool&, const Pool&) = default;
};

/// One data centre, with every pool as it stands there. A site's kinds are always those of the base.
struct Site {
    DataCenterId dataCenter;
    RegionId region;
    std::vector<Pool> pools; ///< Pools as they stand at this site after its overlay.

    friend bool operator==(const Site&, const Site&) = default;
};

/// A checked configuration. Make one with `load` or `parse`.
struct Federation {
    std::string name;
    MeasureWeights weights;
    PoolId sparePool; ///< The pool from which others borrow first.
    std::uint32_t sharedBudget { 0 }; ///< VMs that all pools together may borrow at one time.
    std::vector<Team> teams;
    std::vector<Pool> pools;
    std::vector<Site> sites;

    friend bool operator==(const Federation&, const Federation&) = default;
};

} // namespace rattanrack::config
