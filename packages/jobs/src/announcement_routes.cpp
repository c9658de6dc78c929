#include "rattanrack/jobs/announcement_routes.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::jobs {

namespace {

constexpr std::size_t neighbours = 4; ///< That a node without cells announces itself to, besides the owners.

std::vector<AnnouncementRoute> directRoutes(const std::vector<std::string>& addresses)
{
    std::vector<AnnouncementRoute> routes;
    routes.reserve(addresses.size());
    for (const std::string& address : addresses)
        routes.push_back({ address, {} });
    return routes;
}

/// The first live member of the group, from a place that changes with `sequence` on.
std::size_t relayOf(const std::vector<std::string>& group, const std::set<std::string>& live, std::uint64_t sequence)
{
    const std::size_t first = sequence % group.size();
    for (std::size_t i = 0; i < group.size(); ++i) {
        const std::size_t place = (first + i) % group.size();
        if (live.contains(group[place]))
            return place;
    }
    return first;
}

} // namespace

std::vector<AnnouncementRoute> broadcastRoutes(
    const std::vector<std::string>& addresses, const std::set<std::string>& live, std::uint64_t sequence)
{
    if (addresses.size() <= directFanOut)
        return directRoutes(addresses);
    const auto groups = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(addresses.size()))));
    std::vector<AnnouncementRoute> routes;
    routes.reserve(groups);
    for (std::size_t number = 0; number < groups; ++number) {
        const std::size_t begin = number * addresses.size() / groups;
        const std::size_t end = (number + 1) * addresses.size() / groups;
        std::vector<std::string> group(addresses.begin() + static_cast<std::ptrdiff_t>(begin),
            addresses.begin() + static_cast<std::ptrdiff_t>(end));
        const std::size_t relay = relayOf(group, live, sequence);
        std::string address = group[relay];
        group.erase(group.begin() + static_cast<std::ptrdiff_t>(relay));
        routes.push_back({ std::move(address), std::move(group) });
    }
    return routes;
}

std::vector<AnnouncementRoute> idleRoutes(
    const std::vector<std::string>& addresses, const std::set<std::string>& owners, const std::string& self)
{
    if (addresses.size() <= directFanOut)
        return directRoutes(addresses);
    std::set<std::string> chosen = owners;
    const auto next = std::upper_bound(addresses.begin(), addresses.end(), self) - addresses.begin();
    for (std::size_t i = 0; i < neighbours; ++i)
        chosen.insert(addresses[(static_cast<std::size_t>(next) + i) % addresses.size()]);
    return directRoutes({ chosen.begin(), chosen.end() });
}

} // namespace rattanrack::jobs
