#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/// By which nodes an announcement reaches all others. The cost of a node does not grow with the number of nodes: an
/// owner sends to one relay of each group of nodes, and a relay passes the announcement on to the rest of its group.
namespace rattanrack::jobs {

/// Up to so many other nodes are sent each announcement directly.
constexpr std::size_t directFanOut = 16;

struct AnnouncementRoute {
    std::string address;
    std::vector<std::string> relayTo; ///< The receiver passes the announcement on to these.
};

/// Routes to all of `addresses`, which are sorted and without duplicates. The relay of a group changes with `sequence`;
/// it is one of `live` if the group has any.
std::vector<AnnouncementRoute> broadcastRoutes(
    const std::vector<std::string>& addresses, const std::set<std::string>& live, std::uint64_t sequence);

/// Routes to `owners` and to the few nodes that follow `self` in the order of addresses.
std::vector<AnnouncementRoute> idleRoutes(
    const std::vector<std::string>& addresses, const std::set<std::string>& owners, const std::string& self);

} // namespace rattanrack::jobs
