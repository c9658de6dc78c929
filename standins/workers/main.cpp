#include "fleet_file.h"
#include "run_until_signal.h"
#include "worker_group.h"

#include "rattanrack/base/log.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

using namespace rattanrack;

constexpr const char* usage
    = R"(Stands in for workers in tests: each VM of the fleet file on its own port, and one control port.

Usage:
  standin-workers --control=ADDRESS --fleet=FILE [--seed=N]

Options:
  --control=ADDRESS  Address "ip:port" of the control port.
  --fleet=FILE       Fleet file, YAML or JSON.
  --seed=N           Seed of the faults [default: 1].
)";

Result<int> serve(std::map<std::string, docopt::value>& arguments)
{
    const auto signals = standin::blockEndSignals();
    BOOST_LEAF_AUTO(vms, standin::readFleetFile(arguments["--fleet"].asString()));
    const auto address = arguments["--control"].asString();
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    BOOST_LEAF_AUTO(group, standin::WorkerGroup::create(address, vms, seed));
    logEvent("standin.serving", { { "control", address }, { "workers", vms.size() } });
    standin::waitForSignal(signals);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    return rattanrack::handle([&] { return serve(arguments); },
        [](const rattanrack::Error& error) {
            std::cerr << rattanrack::describe(error) << '\n';
            return 1;
        });
}
