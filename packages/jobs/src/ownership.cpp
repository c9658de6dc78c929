#include "rattanrack/jobs/ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration silence = 1300ms; ///< A node not heard for this long is taken for dead.
constexpr Duration acquaintance = 1200ms; ///< After its start a node listens this long before it takes cells.
constexpr Duration pauseAfterFailure = 400ms;
constexpr Duration unlearnAfter = 20s; ///< An address that stays silent is told no more.
constexpr Duration imbalancePatience = 4s;
constexpr std::size_t imbalance = 2; ///< Cells more than the node with the fewest.

/// The same on each node.
std::uint64_t preference(const PoolId& cell, const NodeId& node)
{
    const std::string pair = cell.value() + '|' + node.value();
    return XXH3_64bits(pair.data(), pair.size());
}

} // namespace

Ownership::Ownership(NodeId self, std::string address, TimePoint now)
    : m_self(std::move(self))
    , m_address(std::move(address))
    , m_startedAt(now)
{
}

void Ownership::setCells(std::vector<PoolId> cells)
{
    std::sort(cells.begin(), cells.end());
    m_cells = std::move(cells);
}

void Ownership::learnAddress(const std::string& address)
{
    const bool isKnown = std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto& peer) { return peer.second.news.address == address; });
    if (address != m_address && !isKnown)
        m_learned.insert(address);
}

void Ownership::onNews(const NodeNews& news, TimePoint now)
{
    if (news.node == m_self)
        return;
    Peer& peer = m_peers[news.node];
    if (peer.news.sequence >= news.sequence)
        return;
    peer = { news, now };
    m_learned.erase(news.address);
    // A node that starts again at the same address has taken the place of its earlier life.
    std::erase_if(m_peers,
        [&](const auto& other) { return other.first != news.node && other.second.news.address == news.address; });
}

bool Ownership::isLive(const Peer& peer, TimePoint now) const { return now - peer.heardAt < silence; }

void Ownership::taken(const PoolId& cell, Fence term)
{
    m_held[cell] = term;
    m_tryAgainAt.erase(cell);
}

void Ownership::dropped(const PoolId& cell) { m_held.erase(cell); }

void Ownership::takingFailed(const PoolId& cell, TimePoint now) { m_tryAgainAt[cell] = now + pauseAfterFailure; }

std::optional<CellOwner> Ownership::owner(const PoolId& cell, TimePoint now) const
{
    std::optional<CellOwner> best;
    const auto held = m_held.find(cell);
    if (held != m_held.end())
        best = { m_self, m_address, held->second };
    for (const auto& [node, peer] : m_peers) {
        if (!isLive(peer, now))
            continue;
        for (const HeldCell& each : peer.news.cells) {
            if (each.cell == cell && (!best || each.term > best->term))
                best = { node, peer.news.address, each.term };
        }
    }
    return best;
}

std::vector<PoolId> Ownership::toTake(TimePoint now) const
{
    if (m_isLeaving || !m_isStoreInReach || m_cells.empty() || now - m_startedAt < acquaintance)
        return {};
    std::map<NodeId, std::size_t> counts { { m_self, 0 } };
    for (const auto& [node, peer] : m_peers) {
        if (isLive(peer, now) && !peer.news.isLeaving && peer.news.isStoreInReach)
            counts[node] = 0;
    }
    std::vector<PoolId> free;
    for (const PoolId& cell : m_cells) {
        const auto holder = owner(cell, now);
        if (!holder)
            free.push_back(cell);
        else if (counts.contains(holder->node))
            ++counts[holder->node];
    }
    std::vector<PoolId> mine;
    for (const PoolId& cell : free) {
        const auto isBetter = [&](const auto& left, const auto& right) {
            return std::pair { left.second, preference(cell, left.first) }
            < std::pair { right.second, preference(cell, right.first) };
        };
        const auto chosen = std::min_element(counts.begin(), counts.end(), isBetter);
        ++chosen->second;
        const auto pause = m_tryAgainAt.find(cell);
        if (chosen->first == m_self && (pause == m_tryAgainAt.end() || now >= pause->second))
            mine.push_back(cell);
    }
    return mine;
}

std::optional<PoolId> Ownership::toHandBack(TimePoint now)
{
    std::size_t fewest = m_held.size();
    for (const auto& [node, peer] : m_peers) {
        if (isLive(peer, now) && !peer.news.isLeaving && peer.news.isStoreInReach)
            fewest = std::min(fewest, peer.news.cells.size());
    }
    if (m_held.size() < fewest + imbalance) {
        m_unbalancedSince = now;
        return std::nullopt;
    }
    if (now - m_unbalancedSince < imbalancePatience)
        return std::nullopt;
    m_unbalancedSince = now;
    return m_held.begin()->first;
}

std::vector<std::string> Ownership::addresses(TimePoint now) const
{
    std::vector<std::string> all;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.heardAt < unlearnAfter)
            all.push_back(peer.news.address);
    }
    all.insert(all.end(), m_learned.begin(), m_learned.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

std::vector<std::string> Ownership::peersInReach(TimePoint now) const
{
    std::vector<std::string> all;
    for (const NodeNews* news : liveNews(now)) {
        if (news->isStoreInReach)
            all.push_back(news->address);
    }
    return all;
}

std::uint64_t Ownership::heardOf(const NodeId& node, TimePoint now) const
{
    const auto peer = m_peers.find(node);
    return peer != m_peers.end() && isLive(peer->second, now) ? peer->second.news.sequence : 0;
}

NodeNews Ownership::news()
{
    NodeNews news { m_self, m_address, ++m_sequence, m_isLeaving, m_isStoreInReach, {}, {}, 0, {}, {}, {} };
    for (const auto& [cell, term] : m_held)
        news.cells.push_back({ cell, term });
    return news;
}

std::vector<const NodeNews*> Ownership::liveNews(TimePoint now) const
{
    std::vector<const NodeNews*> all;
    for (const auto& [node, peer] : m_peers) {
        if (isLive(peer, now))
            all.push_back(&peer.news);
    }
    return all;
}

} // namespace rattanrack::jobs
