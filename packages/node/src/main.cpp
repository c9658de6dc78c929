#include "rattanrack/adapter/serve.h"
#include "rattanrack/base/log.h"
#include "rattanrack/config/node_settings.h"
#include "rattanrack/node/daemon.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace rattanrack;

constexpr const char* usage =
    R"(rattanrackd: sends callers' requests to the workers of a fleet, and manages the fleet.

Usage:
  rattanrackd --settings=FILE [--check]
  rattanrackd jobs --settings=FILE [--check]
  rattanrackd (-h | --help)
  rattanrackd --version

Commands:
  jobs             Run jobs on the users' platform. Without it, single requests are served.

Options:
  --settings=FILE  Settings of this node (YAML).
  --check          Check the settings, print every error, and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit status: 0 after a graceful stop or a successful check, 1 if it can't start, 2 if the settings are invalid.
SIGTERM and SIGINT stop it gracefully: no request in progress is cut off.
)";

constexpr const char* version = "rattanrackd 0.1.0";
constexpr int exitCannotStart = 1;
constexpr int exitBadSettings = 2;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Waits for SIGTERM or SIGINT. SIGHUP, which announces changed settings, is only logged: no setting can change while
/// the node runs.
void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&signals, &received);
        logEvent("node.signal", { { "signal", received } });
    }
}

int printError(const Error& error, int exitCode)
{
    std::cerr << describe(error) << '\n';
    return exitCode;
}

std::optional<config::NodeSettings> readSettings(const std::string& path)
{
    return valueOrNothing(
        [&] { return config::loadNodeSettings(path); }, [](const Error& error) { printError(error, exitBadSettings); });
}

int serve(const config::NodeSettings& settings)
{
    return handle(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(daemon, node::Daemon::create(settings));
            waitForStopSignal();
            daemon->shutDown();
            return 0;
        },
        [](const Error& error) { return printError(error, exitCannotStart); });
}

int serveJobs(const std::string& path, bool onlyChecks)
{
    const auto settings = valueOrNothing(
        [&] { return config::loadJobNodeFile(path); }, [](const Error& error) { printError(error, exitBadSettings); });
    if (!settings)
        return exitBadSettings;
    if (onlyChecks)
        return 0;
    return handle(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(adapter::serve(*settings, waitForStopSignal));
            return 0;
        },
        [](const Error& error) { return printError(error, exitCannotStart); });
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const auto options = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true, version);
    // Blocked before any thread starts, so that only `waitForStopSignal` receives these signals.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    if (options.at("jobs").asBool())
        return serveJobs(options.at("--settings").asString(), options.at("--check").asBool());
    const auto settings = readSettings(options.at("--settings").asString());
    if (!settings)
        return exitBadSettings;
    return options.at("--check").asBool() ? 0 : serve(*settings);
}
