#pragma once

#include "rattanrack/base/log.h"
#include "rattanrack/base/time.h"
#include "rattanrack/config/diagnostic.h"
#include "rattanrack/config/node_settings.h"

#include <optional>
#include <string>
#include <string_view>

namespace rattanrack::config {

/// Settings of a node that runs jobs on the users' platform.
struct JobNodeFile {
    std::string name;
    Address listen; ///< Where callers' requests arrive.
    Address readiness; ///< Where the balancer asks whether to send callers here.
    Address peerListen; ///< Where this node accepts connections of other nodes.
    std::optional<Address> peerAnnounce; ///< Where other nodes connect to; empty: `peerListen`.
    Address store; ///< The platform's table service.
    Address machineList; ///< The platform's list of machines.
    std::optional<Address> advice; ///< The service that allows workers to run steps.
    Duration longestLease {}; ///< Workers shorten leases that are longer.
    Duration keepEnded {}; ///< Jobs can be asked for this long after their end.
    Duration longestStop { std::chrono::seconds { 1 } }; ///< Workers end a run within it once they are told to.
    /// From a worker's word that it leaves until nothing starts there.
    Duration drainBound { std::chrono::seconds { 2 } };
    /// From the store's acknowledgement of a configuration until it is in force.
    Duration configurationBound { std::chrono::seconds { 2 } };
    Duration stopGrace {}; ///< From SIGTERM until the process is killed.
    double processorShare { 1 }; ///< Of each core, what this node may use; (0, 1].
    double processorCores { 1 }; ///< Cores of this node; (0, 1024]. Slow ones count for less than 1.
    LogLevel logLevel { LogLevel::Info };
};

/// Parses the settings in `text`, which diagnostics call `name`.
Checked<JobNodeFile> parseJobNodeFile(const std::string& name, std::string_view text);

/// Errors: NotFound, InvalidConfiguration (every mistake with line and column).
Result<JobNodeFile> loadJobNodeFile(const std::string& path);

} // namespace rattanrack::config
