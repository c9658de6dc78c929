#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/log.h"
#include "rattanrack/config/diagnostic.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::config {

/// An IP number and a port.
struct Address {
    std::string host; ///< IPv4 or IPv6 number, without brackets.
    std::uint16_t port { 0 };

    /// "10.0.0.1:7000" or "[::1]:7000".
    std::string text() const;

    friend bool operator==(const Address&, const Address&) = default;
};

/// Reads "10.0.0.1:7000" or "[::1]:7000"; nothing when `text` is neither. Host names are not looked up.
std::optional<Address> parseAddress(std::string_view text);

/// Where the platform's services answer.
struct PlatformAddresses {
    Address table;
    Address objectStore;
    Address vmList;

    friend bool operator==(const PlatformAddresses&, const PlatformAddresses&) = default;
};

/// Threads of one daemon, 1 to 1024 each. A request that is waited for holds one caller thread; a running task holds
/// one worker thread.
struct ThreadCounts {
    std::uint32_t callers { 64 };
    std::uint32_t workers { 64 };
    std::uint32_t platform { 4 };

    friend bool operator==(const ThreadCounts&, const ThreadCounts&) = default;
};

/// Connections that one daemon opens or accepts at once, 1 to 65536 each.
struct ConnectionLimits {
    std::uint32_t callers { 512 };
    std::uint32_t perWorker { 8 };

    friend bool operator==(const ConnectionLimits&, const ConnectionLimits&) = default;
};

/// Settings of one daemon. A process learns its addresses and its data centre only from here.
struct NodeSettings {
    std::string name; ///< For people; several lives of a node may share it.
    Address listen; ///< HTTP of callers, operators and the balancer's checks.
    Address peerListen; ///< RPC of the other nodes.
    DataCenterId dataCenter;
    RegionId region;
    PlatformAddresses platform;
    std::vector<Address> seedPeers; ///< Peer addresses to ask first when the table is down; at most 64.
    ThreadCounts threads;
    ConnectionLimits connections;
    LogLevel logLevel { LogLevel::Info };

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Checks the settings in `text`; `name` is the file's name in diagnostics.
Checked<NodeSettings> parseNodeSettings(const std::string& name, std::string_view text);

/// Errors: NotFound (cannot be read), InvalidConfiguration (all mistakes, one a line, in the detail).
///
///     BOOST_LEAF_AUTO(settings, config::loadNodeSettings("/etc/rattanrack/node.yaml"));
Result<NodeSettings> loadNodeSettings(const std::string& path);

} // namespace rattanrack::config
