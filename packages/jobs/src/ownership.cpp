#include "rattanrack/jobs/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration silence = 1300ms; ///< A node not heard for this long is taken for dead.
constexpr Duration acquaintance = 1200ms; ///< After its start a node listens this long before it takes cells.
constexpr Duration pauseAfterFailure = 400ms;
constexpr Duration unlearnAfter = 20s; ///< An address that stays silent is told no more.
constexpr Duration imbalancePatience = 4s;
constexpr double dutyWeight = 0.25; ///< Of a duty; a cell weighs 1.
constexpr double farLessLoad = 0.5; ///< Share of the giver's load; a takeover for less is not worth its pause.

/// What a node holds, by weight, and the processor that it has for it.
struct Burden {
    double weight { 0 };
    double processorShare { defaultProcessorShare };

    double loadWith(double more) const { return (weight + more) / processorShare; }
};

/// The same on each node.
std::uint64_t preference(const PoolId& cell, const NodeId& node)
{
    const std::string pair = cell.value() + '|' + node.value();
    return XXH3_64bits(pair.data(), pair.size());
}

} // namespace

Ownership::Ownership(NodeId self, std::string address, TimePoint now, double processorShare)
    : m_self(std::move(self))
    , m_address(std::move(address))
    , m_startedAt(now)
    , m_processorShare(processorShare)
{
}

void Ownership::setCells(std::vector<PoolId> cells, std::set<PoolId> duties)
{
    std::sort(cells.begin(), cells.end());
    m_cells = std::move(cells);
    m_duties = std::move(duties);
}

void Ownership::addAddress(const std::string& address)
{
    const bool isKnown = std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto& peer) { return peer.second.announcement.address == address; });
    if (address != m_address && !isKnown)
        m_addressesWithoutPeer.insert(address);
}

void Ownership::onAnnouncement(const NodeAnnouncement& news, TimePoint now)
{
    if (news.node == m_self)
        return;
    Peer& peer = m_peers[news.node];
    if (peer.announcement.sequence >= news.sequence)
        return;
    peer = { news, now };
    if (!std::isfinite(news.processorShare) || news.processorShare <= 0)
        peer.announcement.processorShare = defaultProcessorShare;
    m_addressesWithoutPeer.erase(news.address);
    // A node that starts again at the same address has taken the place of its earlier life.
    std::erase_if(m_peers, [&](const auto& other) {
        return other.first != news.node && other.second.announcement.address == news.address;
    });
}

bool Ownership::isLive(const Peer& peer, TimePoint now) const { return now - peer.receivedAt < silence; }

bool Ownership::mayTake(const Peer& peer, TimePoint now) const
{
    return isLive(peer, now) && !peer.announcement.isLeaving && peer.announcement.isStoreReachable;
}

double Ownership::weightOf(const PoolId& cell) const { return m_duties.contains(cell) ? dutyWeight : 1; }

void Ownership::onCellTaken(const PoolId& cell, Fence term)
{
    m_held[cell] = term;
    m_tryAgainAt.erase(cell);
}

void Ownership::onCellDropped(const PoolId& cell) { m_held.erase(cell); }

void Ownership::onTakeFailed(const PoolId& cell, TimePoint now) { m_tryAgainAt[cell] = now + pauseAfterFailure; }

std::optional<CellOwner> Ownership::owner(const PoolId& cell, TimePoint now) const
{
    std::optional<CellOwner> best;
    const auto held = m_held.find(cell);
    if (held != m_held.end())
        best = { m_self, m_address, held->second };
    for (const auto& [node, peer] : m_peers) {
        if (!isLive(peer, now))
            continue;
        for (const OwnedCell& each : peer.announcement.cells) {
            if (each.cell == cell && (!best || each.term > best->term))
                best = { node, peer.announcement.address, each.term };
        }
    }
    return best;
}

std::vector<PoolId> Ownership::cellsToTake(TimePoint now) const
{
    if (m_isLeaving || !m_isStoreReachable || m_cells.empty() || now - m_startedAt < acquaintance)
        return {};
    std::map<NodeId, Burden> burdens { { m_self, { 0, m_processorShare } } };
    for (const auto& [node, peer] : m_peers) {
        if (mayTake(peer, now))
            burdens[node] = { 0, peer.announcement.processorShare };
    }
    std::vector<PoolId> free;
    for (const PoolId& cell : m_cells) {
        const auto holder = owner(cell, now);
        if (!holder)
            free.push_back(cell);
        else if (burdens.contains(holder->node))
            burdens[holder->node].weight += weightOf(cell);
    }
    std::vector<PoolId> mine;
    for (const PoolId& cell : free) {
        const double weight = weightOf(cell);
        const auto isBetter = [&](const auto& left, const auto& right) {
            return std::pair { left.second.loadWith(weight), preference(cell, left.first) }
            < std::pair { right.second.loadWith(weight), preference(cell, right.first) };
        };
        const auto chosen = std::min_element(burdens.begin(), burdens.end(), isBetter);
        chosen->second.weight += weight;
        const auto pause = m_tryAgainAt.find(cell);
        if (chosen->first == m_self && (pause == m_tryAgainAt.end() || now >= pause->second))
            mine.push_back(cell);
    }
    return mine;
}

/// Loads even out with each such move, so that cells don't go to and fro.
bool Ownership::isHandBackWorthwhile(const PoolId& cell, TimePoint now) const
{
    const double weight = weightOf(cell);
    Burden here { 0, m_processorShare };
    for (const auto& [held, term] : m_held)
        here.weight += weightOf(held);
    const auto isRelief = [&](const Burden& there) {
        const double load = there.loadWith(weight);
        return load <= here.loadWith(-weight) || load < here.loadWith(0) * farLessLoad;
    };
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& each) {
        const Peer& peer = each.second;
        Burden there { 0, peer.announcement.processorShare };
        for (const OwnedCell& held : peer.announcement.cells)
            there.weight += weightOf(held.cell);
        return mayTake(peer, now) && isRelief(there);
    });
}

std::optional<PoolId> Ownership::cellToHandBack(TimePoint now)
{
    const auto found = std::find_if(
        m_held.begin(), m_held.end(), [&](const auto& held) { return isHandBackWorthwhile(held.first, now); });
    if (found == m_held.end()) {
        m_unbalancedSince = now;
        return std::nullopt;
    }
    if (now - m_unbalancedSince < imbalancePatience)
        return std::nullopt;
    m_unbalancedSince = now;
    return found->first;
}

std::vector<std::string> Ownership::announcementAddresses(TimePoint now) const
{
    std::vector<std::string> all;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.receivedAt < unlearnAfter)
            all.push_back(peer.announcement.address);
    }
    all.insert(all.end(), m_addressesWithoutPeer.begin(), m_addressesWithoutPeer.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

std::vector<std::string> Ownership::peersReachingStore(TimePoint now) const
{
    std::vector<std::string> all;
    for (const NodeAnnouncement* news : liveAnnouncements(now)) {
        if (news->isStoreReachable)
            all.push_back(news->address);
    }
    return all;
}

std::uint64_t Ownership::latestSequenceOf(const NodeId& node, TimePoint now) const
{
    const auto peer = m_peers.find(node);
    return peer != m_peers.end() && isLive(peer->second, now) ? peer->second.announcement.sequence : 0;
}

NodeAnnouncement Ownership::announcement()
{
    NodeAnnouncement news { m_self, m_address, ++m_sequence, m_isLeaving, m_isStoreReachable, {}, {}, 0, {}, {}, {},
        m_processorShare };
    for (const auto& [cell, term] : m_held)
        news.cells.push_back({ cell, term });
    return news;
}

std::vector<const NodeAnnouncement*> Ownership::liveAnnouncements(TimePoint now) const
{
    std::vector<const NodeAnnouncement*> all;
    for (const auto& [node, peer] : m_peers) {
        if (isLive(peer, now))
            all.push_back(&peer.announcement);
    }
    return all;
}

} // namespace rattanrack::jobs
