#include "soak/world.h"

#include "rattanrack/base/invariant.h"
#include "rattanrack/base/log.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr const char* usage = R"(Runs the fleet core in virtual time under faults and checks its invariants.

Usage:
  rattanrack-soak --seed N [--seeds K] --steps M
  rattanrack-soak --help

Options:
  --seed N   First seed.
  --seeds K  Seeds to run, one after the other [default: 1].
  --steps M  Steps of 250 ms with faults; each run then goes on without until all is settled.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace rattanrack;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const auto first = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    const auto seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
    const auto steps = static_cast<std::uint64_t>(arguments.at("--steps").asLong());
    setInvariantsFatal(true);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        logEvent("soak.start", { { "seed", seed }, { "steps", steps } }, LogLevel::Debug);
        soak::World world { seed };
        const auto report = world.run(steps);
        std::cout << "seed=" << seed << " steps=" << report.steps << " rows_written=" << report.rowsWritten
                  << " conflicts=" << report.conflicts << " reboots=" << report.reboots
                  << " roll_outs=" << report.rollOuts << " moves=" << report.moves
                  << " dispatches=" << report.dispatches << " refused=" << report.refusedDispatches << '\n'
                  << std::flush;
    }
    return 0;
}
