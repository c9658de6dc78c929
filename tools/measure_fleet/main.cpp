#include "measure_fleet/buffer.h"
#include "measure_fleet/measure.h"
#include "measure_fleet/roll_out.h"
#include "measure_fleet/sizes.h"

#include "rattanrack/base/invariant.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

using namespace rattanrack;
using namespace rattanrack::measure;

constexpr const char* usage = R"(Measures the fleet's decisions against baselines and computed bounds, in virtual time.

Usage:
  measure-fleet [--seed N] [roll-out | buffer | capacity]
  measure-fleet --help

Options:
  --seed N  Seed of all random choices [default: 1].
)";

constexpr double rollOutTarget = 1.15; ///< Times the bound.
constexpr std::int64_t rollOutDraws = 5; ///< Fleets of many pools take one: they hold many draws in themselves.
constexpr std::uint32_t manyPools = 50;
constexpr double bufferTarget = 0.6; ///< Times the static buffer.
constexpr double movesTarget = 1.5; ///< Times the oracle's moves.
constexpr double keptService = 0.99; ///< At which buffers are compared.

double seconds(Duration duration) { return std::chrono::duration<double> { duration }.count(); }

/// What a user's total is made of; each part is relative to its baseline.
struct Parts {
    double rollOutTime { 0 };
    double bufferCost { 0 };
    double moves { 0 };
    double lostService { 0 };
};

double totalOf(const Weights& weights, const Parts& parts)
{
    const double sum = weights.bufferCost + weights.rollOutTime + weights.moves + weights.floodService;
    return (weights.bufferCost * parts.bufferCost + weights.rollOutTime * parts.rollOutTime
               + weights.moves * parts.moves + weights.floodService * parts.lostService)
        / sum;
}

/// Mean over several draws of drain times.
RollOutFigures meanRollOut(const FleetSize& size, std::uint64_t seed, bool losesRack)
{
    const std::int64_t draws = size.pools < manyPools ? rollOutDraws : 1;
    RollOutFigures sum;
    for (std::int64_t draw = 0; draw < draws; ++draw) {
        const auto figures = measureRollOut(
            size, seed * static_cast<std::uint64_t>(rollOutDraws) + static_cast<std::uint64_t>(draw), losesRack);
        sum.taken += figures.taken;
        sum.bound += figures.bound;
        sum.oneAtATime += figures.oneAtATime;
    }
    sum.taken /= draws;
    sum.bound /= draws;
    sum.oneAtATime /= draws;
    return sum;
}

void rollOut(const FleetSize& size, std::uint64_t seed, Parts& parts)
{
    const auto planned = meanRollOut(size, seed, false);
    const auto lossy = meanRollOut(size, seed, true);
    const double bound = seconds(planned.bound);
    const double single = seconds(planned.oneAtATime);
    print({ "rollout_time", size.user, "planner", seconds(planned.taken), "s", single, bound, rollOutTarget * bound });
    print({ "rollout_time_rack_lost", size.user, "planner", seconds(lossy.taken), "s", single, bound, single });
    parts.rollOutTime = seconds(planned.taken) / single;
}

void buffer(const FleetSize& size, std::uint64_t seed, Parts& parts)
{
    const Demand demand = makeDemand(size, seed);
    const auto fixed = fewestVms(runStatic, size, demand, keptService);
    const auto borrowing = fewestVms(runBorrowing, size, demand, keptService);
    const auto oracle = fewestVms(runOracle, size, demand, keptService);
    // Moves are compared with the same VMs, or the oracle would be judged under a thinner buffer.
    const auto oracleMoves = runOracle(size, demand, borrowing.vms);
    print({ "buffer", size.user, "borrowing", borrowing.buffer, "vms", fixed.buffer, oracle.buffer,
        bufferTarget * fixed.buffer });
    print({ "kept_service", size.user, "borrowing", borrowing.kept, "share", fixed.kept, oracle.kept, keptService,
        Direction::HigherIsBetter });
    const double moves = oracleMoves.movesPerDay;
    print({ "moves", size.user, "borrowing", borrowing.movesPerDay, "per_day", 0, moves, movesTarget * moves });
    parts.bufferCost = borrowing.buffer / fixed.buffer;
    parts.moves = borrowing.movesPerDay / std::max(1.0, moves);
    parts.lostService = (1 - borrowing.kept) / (1 - fixed.kept);
}

void capacity(std::uint64_t seed)
{
    for (const std::uint32_t pools : { 10U, 40U, 147U }) {
        const FleetSize size { "pools" + std::to_string(pools), pools, pools * 700 / 147, 6, 4, 1, 2, {} };
        const auto figures = measureRollOut(size, seed, false);
        const double plan = figures.planSeconds / static_cast<double>(figures.plans) * 1000;
        const auto vms = static_cast<double>(size.vms);
        std::cout << "measure=capacity user=" << size.user << " vms=" << size.vms << " plan_ms=" << plan
                  << " state_bytes_per_vm=" << static_cast<double>(figures.stateBytes) / vms
                  << " rows_written_per_vm=" << static_cast<double>(figures.rowsWritten) / vms << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const auto seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    setInvariantsFatal(true);
    if (arguments.at("capacity").asBool()) {
        capacity(seed);
        return 0;
    }
    const bool isAll = !arguments.at("roll-out").asBool() && !arguments.at("buffer").asBool();
    for (const auto& size : fleetSizes()) {
        Parts parts;
        if (isAll || arguments.at("roll-out").asBool())
            rollOut(size, seed, parts);
        if (isAll || arguments.at("buffer").asBool())
            buffer(size, seed, parts);
        if (isAll)
            print({ "total", size.user, "all", totalOf(size.weights, parts), "relative", 1, 0, 1 });
    }
    return 0;
}
