#include "rattanrack/jobs/ownership.h"

#include <algorithm>

/// What a node announces, to whom, and what it passes on for others.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration addressRetention = 20s; ///< A node without announcements for this long is sent none any more.
constexpr Duration usualInterval = 600ms; ///< Between announcements of a node without cells.
constexpr std::size_t nodesPerInterval = 64; ///< An owner receives from so many nodes in `usualInterval`.
constexpr std::size_t maxCandidates = 4; ///< In one announcement.
/// An announcement that is so many behind the sender's latest one counts as missed.
constexpr std::uint64_t missedAnnouncements = 3;
constexpr Duration freshAnnouncement = 500ms; ///< Older ones are not passed on.
/// A node that owns nothing any more announces that to all for this long.
constexpr Duration dropBroadcastTime = 1s;

/// Sequence number of the owner's latest announcement that the sender of `announcement` has received; 0: none.
std::uint64_t sequenceSeenBy(const NodeAnnouncement& announcement, const NodeId& owner)
{
    const auto seen = std::find_if(announcement.seenOwners.begin(), announcement.seenOwners.end(),
        [&](const SeenOwner& each) { return each.node == owner; });
    return seen == announcement.seenOwners.end() ? 0 : seen->sequence;
}

} // namespace

std::vector<std::string> Ownership::announcementAddresses(TimePoint now) const
{
    std::vector<std::string> all;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.receivedAt < addressRetention)
            all.push_back(peer.announcement.address);
    }
    all.insert(all.end(), m_addressesWithoutPeer.begin(), m_addressesWithoutPeer.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

std::set<std::string> Ownership::addressesOfOwners(TimePoint now) const
{
    std::set<std::string> owners;
    for (const auto& [node, peer] : m_peers) {
        if (isLive(peer, now) && !peer.announcement.cells.empty())
            owners.insert(peer.announcement.address);
    }
    return owners;
}

std::vector<AnnouncementRoute> Ownership::announcementRoutes(
    const std::string& direct, std::uint64_t sequence, TimePoint now) const
{
    std::vector<std::string> addresses = announcementAddresses(now);
    const bool isBroadcast = !m_ownedCells.empty() || now - m_lastDropAt < dropBroadcastTime;
    if (!isBroadcast)
        return idleRoutes(addresses, addressesOfOwners(now), m_address);
    const bool isDirectKnown = std::erase(addresses, direct) > 0;
    std::set<std::string> live;
    for (const NodeAnnouncement* announcement : liveAnnouncements(now))
        live.insert(announcement->address);
    auto routes = broadcastRoutes(addresses, live, sequence);
    if (isDirectKnown)
        routes.push_back({ direct, {} });
    return routes;
}

std::vector<NodeAnnouncement> Ownership::announcementsMissedBy(
    const NodeAnnouncement& announcement, TimePoint now) const
{
    std::vector<NodeAnnouncement> missed;
    for (const auto& [node, peer] : m_peers) {
        const bool isPassable = now - peer.receivedAt < freshAnnouncement && !peer.announcement.cells.empty();
        if (!isPassable || node == announcement.node)
            continue;
        if (sequenceSeenBy(announcement, node) + missedAnnouncements > peer.announcement.sequence)
            continue;
        missed.push_back(peer.announcement);
        missed.back().isPassedOn = true;
        missed.back().age = now - peer.receivedAt;
    }
    return missed;
}

std::vector<std::string> Ownership::peersReachingStore(TimePoint now) const
{
    std::vector<std::string> all;
    for (const NodeAnnouncement* announcement : liveAnnouncements(now)) {
        if (announcement->isStoreReachable && !announcement->isLeaving)
            all.push_back(announcement->address);
    }
    return all;
}

std::optional<Duration> Ownership::silence(const NodeId& process, TimePoint now) const
{
    const auto peer = m_peers.find(process);
    return peer == m_peers.end() ? std::nullopt : std::optional { now - peer->second.receivedAt };
}

NodeAnnouncement Ownership::announcement()
{
    NodeAnnouncement announcement { m_self, m_address, ++m_sequence, m_isLeaving, m_isStoreReachable, {}, {}, 0, {}, {},
        {}, m_processorShare };
    for (const auto& [cell, term] : m_ownedCells)
        announcement.cells.push_back({ cell, term });
    if (m_ownedCells.empty())
        announcement.interval = idleInterval();
    return announcement;
}

/// Grows with the number of nodes, so that the number of announcements that an owner receives does not.
Duration Ownership::idleInterval() const
{
    const std::size_t nodes = m_peers.size() + m_addressesWithoutPeer.size();
    return usualInterval * static_cast<Duration::rep>(nodes / nodesPerInterval + 1);
}

std::vector<TakeoverCandidate> Ownership::candidates(TimePoint now) const
{
    std::vector<TakeoverCandidate> all;
    for (const auto& [node, peer] : m_peers) {
        if (isCandidate(peer, now) && peer.announcement.cells.empty())
            all.push_back({ node, peer.announcement.processorShare });
    }
    std::stable_sort(all.begin(), all.end(),
        [](const auto& left, const auto& right) { return left.processorShare > right.processorShare; });
    all.resize(std::min(all.size(), maxCandidates));
    return all;
}

void Ownership::complete(NodeAnnouncement& announcement, TimePoint now) const
{
    announcement.uptime = now - m_startedAt;
    for (const auto& [node, peer] : m_peers) {
        if (isLive(peer, now) && !peer.announcement.cells.empty())
            announcement.seenOwners.push_back({ node, peer.announcement.sequence });
    }
    const bool areAllNodesKnown = m_peers.size() + m_addressesWithoutPeer.size() <= directFanOut;
    if (!m_ownedCells.empty() && !areAllNodesKnown)
        announcement.candidates = candidates(now);
}

} // namespace rattanrack::jobs
