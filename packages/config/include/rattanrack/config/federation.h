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

/// Weights of the four measures in the federation's total.
struct MeasureWeights {
    double bufferCost { 1 };
    double rollOutTime { 1 };
    double moves { 1 };
    double floodService { 1 };

    friend bool operator==(const MeasureWeights&, const MeasureWeights&) = default;
};

struct Team {
    TeamId id;
    double share { 1 };

    friend bool operator==(const Team&, const Team&) = default;
};

/// Objective for one kind of work; its error budget is 1 - `target`.
struct Objective {
    double target { 0.99 }; ///< Part of requests that must be answered well, 0 to 1.
    Duration urgentLatency {}; ///< An urgent request counts as good when answered within this time.
    Duration normalLatency {};
    Duration backgroundLatency {};

    friend bool operator==(const Objective&, const Objective&) = default;
};

struct Kind {
    WorkKind id;
    double weight { 1 };
    double floorShare { 0 };
    Objective objective;

    friend bool operator==(const Kind&, const Kind&) = default;
};

struct Pool {
    PoolId id;
    std::uint32_t workers { 0 }; ///< VMs that the pool has when nothing is borrowed.
    std::uint32_t minAvailable { 0 }; ///< Availability floor: workers that must serve at any moment.
    std::uint32_t maxPlannedDown { 1 }; ///< Workers that maintenance may take out at once.
    std::uint32_t mayBorrow { 0 }; ///< Workers that it may take beyond its own.
    std::uint32_t mayLend { 0 }; ///< Workers that it may give to others.
    std::uint32_t maxQueued { 1000 };
    std::uint64_t maxQueuedBytes { 16U << 20U };
    double maxEjectedShare { 0.3 };
    double retryBudget { 0.1 };
    std::vector<Kind> kinds;

    friend bool operator==(const Pool&, const Pool&) = default;
};

/// What an overlay changed for one data centre. Only limits that may differ by site are here.
struct Site {
    DataCenterId dataCenter;
    RegionId region;
    std::vector<Pool> pools; ///< Pools as they stand at this site after its overlay.

    friend bool operator==(const Site&, const Site&) = default;
};

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
