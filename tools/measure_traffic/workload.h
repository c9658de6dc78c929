#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattanrack::measure {

/// One request of the demand, with what the policy is not told.
struct Arrival {
    TimePoint at;
    std::size_t node { 0 };
    policy::RequestSpec spec;
    Duration runTime {}; ///< How long it truly runs.
    std::optional<TimePoint> cancelAt;
};

/// Demand of one kind of work. Times are from the start of the run.
struct Stream {
    PoolId pool;
    WorkKind kind;
    std::vector<TeamId> teams { TeamId { "team0" } };
    policy::Urgency urgency { policy::Urgency::Normal };
    double load { 0 }; ///< Mean demand in slots.
    Duration meanRunTime { 400'000 };
    Duration timeout { 60'000'000 }; ///< From arrival to deadline.
    double declaredOverTrue { 1 }; ///< Declared run time over the mean of true ones.
    double burstLoad { 0 }; ///< Demand in slots during bursts, in place of `load`.
    Duration burstFrom { 0 };
    Duration burstLength { 0 };
    Duration burstPeriod { 0 }; ///< Zero: one burst.
    bool isRepeatable { true };

    double loadAt(TimePoint) const;
};

/// Workers, kinds, teams and demand of one run.
struct Workload {
    policy::ViewChanged view;
    std::size_t nodes { 7 };
    Duration length { 60'000'000 };
    std::vector<Arrival> arrivals; ///< In order of time.

    double weight(const WorkKind&) const;
    std::int64_t slots(const PoolId&) const;
};

/// Adds a pool of `count` workers with 8 slots each, four to a rack, spread over `dataCenters`.
void addPool(Workload&, const std::string& name, std::size_t count, std::size_t dataCenters, std::int64_t memory);

void addKind(Workload&, const std::string& pool, const std::string& kind, double weight, double floorShare);

/// Draws Poisson arrivals with log-normal run times for all streams. Equal seeds give equal demand.
void draw(Workload&, const std::vector<Stream>&, std::uint64_t seed);

} // namespace rattanrack::measure
