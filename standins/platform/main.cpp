#include "fleet_file.h"
#include "platform_server.h"
#include "run_until_signal.h"

#include "rattanrack/base/log.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

using namespace rattanrack;

constexpr const char* usage
    = R"(Stands in for the platform in tests: table, object store and a lagging list of VMs on one port.

Usage:
  standin-platform --listen=ADDRESS --fleet=FILE [--seed=N]

Options:
  --listen=ADDRESS  Address "ip:port".
  --fleet=FILE      Fleet file, YAML or JSON.
  --seed=N          Seed of the faults [default: 1].
)";

Result<int> serve(std::map<std::string, docopt::value>& arguments)
{
    const auto signals = standin::blockEndSignals();
    BOOST_LEAF_AUTO(vms, standin::readFleetFile(arguments["--fleet"].asString()));
    const auto address = arguments["--listen"].asString();
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    BOOST_LEAF_AUTO(server, standin::PlatformServer::create(address, std::move(vms), seed));
    logEvent("standin.serving", { { "listen", address } });
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
