#include "rattanrack/jobs/ownership.h"

#include "rattanrack/jobs/node_process.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

/// Which node owns a cell, and which takes one without an owner.
namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

/// A node without announcements for this long is taken for dead. It leaves a period of the node's control thread and
/// the transaction, so that a dead owner is replaced within 1.5 s.
constexpr Duration nodeTimeout = 1250ms;
/// The announcements of an owner are late after this time, which leaves `nodeTimeout` the time to watch its row.
constexpr Duration lateAnnouncement = 300ms;
constexpr Duration pauseBetweenRanks = 300ms; ///< A node waits this long for each better one to take a cell.
constexpr std::size_t longestRankWait = 5; ///< Ranks.
constexpr std::size_t noRank = std::numeric_limits<std::size_t>::max(); ///< Behind all others.
constexpr std::size_t watchingRanks = 3; ///< Nodes that watch a cell.
constexpr Duration recentTime = 10s; ///< Nodes that have announced themselves within this time are counted.
/// After its start a node collects announcements for this long before it takes cells.
constexpr Duration startupDelay = 1200ms;
constexpr Duration pauseAfterFailure = 400ms;
constexpr Duration imbalanceDelay = 4s;
constexpr Duration intervalSlack = 100ms;
constexpr Duration candidateTime = 3300ms; ///< The candidates of an announcement count for this long.
constexpr double dutyWeight = 0.25; ///< Of a duty; a cell weighs 1.
/// Share of the giver's load; for a smaller gain the pause of a takeover is not worthwhile.
constexpr double maxLoadRatio = 0.5;

/// Weight of the cells that a node owns, and the processors that it has for them.
struct WeightedLoad {
    double weight { 0 };
    double processorShare { defaultProcessorShare };

    double loadWith(double more) const { return (weight + more) / processorShare; }
};

/// Breaks ties in the same way on each node.
std::uint64_t tieBreaker(const PoolId& cell, const NodeId& node)
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

void Ownership::setListedAddresses(const std::vector<std::string>& addresses, TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& each) {
        const std::string& address = each.second.announcement.address;
        return now - each.second.receivedAt >= peerRetention
            && !std::binary_search(addresses.begin(), addresses.end(), address);
    });
    m_addressesWithoutPeer = { addresses.begin(), addresses.end() };
    m_addressesWithoutPeer.erase(m_address);
    for (const auto& [node, peer] : m_peers)
        m_addressesWithoutPeer.erase(peer.announcement.address);
}

void Ownership::onAnnouncement(const NodeAnnouncement& announcement, TimePoint now)
{
    if (announcement.node == m_self)
        return;
    Peer& peer = m_peers.try_emplace(announcement.node, Peer { {}, {}, now }).first->second;
    if (peer.announcement.sequence >= announcement.sequence)
        return;
    recordAnnouncedCells(announcement.node, peer.announcement.cells, announcement.cells, now);
    const TimePoint receivedAt = std::max(peer.receivedAt, now - announcement.age);
    peer = { announcement, receivedAt, std::min(peer.startedBy, receivedAt - announcement.uptime) };
    if (!std::isfinite(announcement.processorShare) || announcement.processorShare <= 0)
        peer.announcement.processorShare = defaultProcessorShare;
    m_addressesWithoutPeer.erase(announcement.address);
    // A node that restarts at the same address replaces its earlier process.
    const bool isNewProcess = m_processes.emplace(announcement.node, now).second;
    recordEndedBefore(announcement.node);
    std::erase_if(m_peers, [&](const auto& other) {
        const bool isReplaced
            = other.first != announcement.node && other.second.announcement.address == announcement.address;
        if (isReplaced && isNewProcess)
            recordAnnouncedCells(other.first, other.second.announcement.cells, {}, now);
        return isReplaced;
    });
}

bool Ownership::isLive(const Peer& peer, TimePoint now) const
{
    return now - peer.receivedAt < std::max(nodeTimeout, 2 * peer.announcement.interval + intervalSlack);
}

/// Whether no node has been running for long, as after the start of all of them.
bool Ownership::areAllNew(TimePoint now) const
{
    const bool isAnyPeerOld = std::any_of(m_peers.begin(), m_peers.end(),
        [&](const auto& peer) { return now - peer.second.startedBy >= 2 * startupDelay; });
    return now - m_startedAt < 2 * startupDelay && !isAnyPeerOld;
}

bool Ownership::mayTake(const Peer& peer, TimePoint now) const
{
    return isLive(peer, now) && !peer.announcement.isLeaving && peer.announcement.isStoreReachable;
}

/// Not one whose announcements are late: it may be as dead as the owner that is to be replaced.
bool Ownership::isCandidate(const Peer& peer, TimePoint now) const
{
    const bool isLate = now - peer.receivedAt >= lateAnnouncement + peer.announcement.interval;
    const bool isNew = now - peer.startedBy < startupDelay;
    return mayTake(peer, now) && !isLate && !isNew;
}

double Ownership::weightOf(const PoolId& cell) const { return m_duties.contains(cell) ? dutyWeight : 1; }

void Ownership::onCellTaken(const PoolId& cell, Fence term, TimePoint now)
{
    m_ownedCells[cell] = term;
    m_retryAt.erase(cell);
    recordOwned({ cell, term }, m_self, now);
}

void Ownership::onCellDropped(const PoolId& cell, TimePoint now)
{
    const auto owned = m_ownedCells.find(cell);
    if (owned == m_ownedCells.end())
        return;
    recordReleased({ cell, owned->second }, now);
    m_ownedCells.erase(owned);
    m_lastDropAt = now;
}

void Ownership::onTakeFailed(const PoolId& cell, TimePoint now) { m_retryAt[cell] = now + pauseAfterFailure; }

std::optional<CellOwner> Ownership::owner(const PoolId& cell, TimePoint now) const
{
    return ownerWithin(cell, nodeTimeout, now);
}

std::optional<CellOwner> Ownership::ownerWithin(const PoolId& cell, Duration timeout, TimePoint now) const
{
    std::optional<CellOwner> best;
    const auto owned = m_ownedCells.find(cell);
    if (owned != m_ownedCells.end())
        best = { m_self, m_address, owned->second };
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.receivedAt >= timeout)
            continue;
        for (const OwnedCell& each : peer.announcement.cells) {
            if (each.cell == cell && (!best || each.term > best->term))
                best = { node, peer.announcement.address, each.term };
        }
    }
    return best;
}

/// The place of this node among the candidates for each cell without an announcement for `timeout`; 0 is the best.
std::map<PoolId, std::size_t> Ownership::ranksOfFreeCells(Duration timeout, TimePoint now) const
{
    std::map<NodeId, WeightedLoad> loads { { m_self, { 0, m_processorShare } } };
    // A process takes nothing right after its start. When all have just started, they count.
    const bool doNewOnesCount = areAllNew(now);
    for (const auto& [node, peer] : m_peers) {
        if (isCandidate(peer, now) || (doNewOnesCount && mayTake(peer, now)))
            loads[node] = { 0, peer.announcement.processorShare };
    }
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.receivedAt >= candidateTime)
            continue;
        for (const TakeoverCandidate& candidate : peer.announcement.candidates) {
            if (!m_peers.contains(candidate.node)) // Otherwise its own announcements count.
                loads.try_emplace(candidate.node, WeightedLoad { 0, candidate.processorShare });
        }
    }
    std::vector<PoolId> free;
    for (const PoolId& cell : m_cells) {
        const auto holder = ownerWithin(cell, timeout, now);
        if (!holder)
            free.push_back(cell);
        else if (loads.contains(holder->node))
            loads[holder->node].weight += weightOf(cell);
    }
    std::map<PoolId, std::size_t> ranks;
    for (const PoolId& cell : free) {
        const double weight = weightOf(cell);
        const auto isBetter = [&](const auto& left, const auto& right) {
            return std::pair { left.second.loadWith(weight), tieBreaker(cell, left.first) }
            < std::pair { right.second.loadWith(weight), tieBreaker(cell, right.first) };
        };
        const auto self = loads.find(m_self);
        ranks[cell] = static_cast<std::size_t>(
            std::count_if(loads.begin(), loads.end(), [&](const auto& each) { return isBetter(each, *self); }));
        const auto chosen = std::min_element(loads.begin(), loads.end(), isBetter);
        chosen->second.weight += weight;
    }
    return ranks;
}

std::vector<PoolId> Ownership::cellsToWatch(TimePoint now)
{
    if (m_isLeaving || !m_isStoreReachable || now - m_startedAt < lateAnnouncement)
        return {};
    std::vector<PoolId> watched;
    const bool areRanksKept = now - m_startedAt >= startupDelay; // Before, few nodes are known here.
    std::map<PoolId, std::size_t> bestRanks;
    for (const auto& [cell, rank] : ranksOfFreeCells(lateAnnouncement, now)) {
        const auto earlier = m_bestRanks.find(cell);
        if (rank < watchingRanks || earlier != m_bestRanks.end() || m_freeSince.contains(cell)) {
            watched.push_back(cell);
            const std::size_t kept = areRanksKept ? rank : noRank;
            bestRanks[cell] = earlier == m_bestRanks.end() ? kept : std::min(kept, earlier->second);
        }
    }
    m_bestRanks = std::move(bestRanks);
    for (const PoolId& cell : m_cells) {
        if (owner(cell, now))
            m_freeSince.erase(cell);
        else
            m_freeSince.try_emplace(cell, now);
    }
    return watched;
}

std::vector<PoolId> Ownership::cellsToTake(TimePoint now) const
{
    if (m_isLeaving || !m_isStoreReachable || m_cells.empty() || now - m_startedAt < startupDelay)
        return {};
    std::vector<PoolId> mine;
    for (const auto& [cell, presentRank] : ranksOfFreeCells(nodeTimeout, now)) {
        const auto best = m_bestRanks.find(cell);
        const std::size_t rank = best == m_bestRanks.end() ? presentRank : std::min(presentRank, best->second);
        const auto freeSince = m_freeSince.find(cell);
        const Duration waited = freeSince == m_freeSince.end() ? Duration {} : now - freeSince->second;
        const Duration wait = pauseBetweenRanks * std::min(rank, longestRankWait);
        const auto pause = m_retryAt.find(cell);
        if (waited >= wait && (pause == m_retryAt.end() || now >= pause->second))
            mine.push_back(cell);
    }
    return mine;
}

bool Ownership::hasEnded(const NodeId& process) const
{
    if (process == m_self || areOfOneNode(process, m_self))
        return true;
    return std::any_of(
        m_processes.begin(), m_processes.end(), [&](const auto& each) { return hasReplaced(each.first, process); });
}

Duration Ownership::silenceOfOwner(const PoolId& cell, TimePoint now) const
{
    TimePoint last = m_startedAt;
    for (const auto& [node, peer] : m_peers) {
        const bool hasOwned = std::any_of(peer.announcement.cells.begin(), peer.announcement.cells.end(),
            [&](const OwnedCell& owned) { return owned.cell == cell; });
        if (hasOwned)
            last = std::max(last, peer.receivedAt);
    }
    return now - last;
}

bool Ownership::receivesMostNodes(TimePoint now) const
{
    const bool hasJustStarted = now - m_startedAt < recentTime;
    std::size_t recent = 1; // This node.
    std::size_t live = 1;
    if (hasJustStarted) // Nodes may run that have not reached this process yet.
        recent += m_addressesWithoutPeer.size();
    for (const auto& [node, peer] : m_peers) {
        recent += now - peer.receivedAt < recentTime ? 1 : 0;
        live += isLive(peer, now) ? 1 : 0;
    }
    const bool receivesNobody = live == 1; // Its own isolation can't be told from that of the others.
    return !receivesNobody && live * 2 > recent;
}

/// Each such move balances the loads, so that cells don't move back and forth.
bool Ownership::isHandBackWorthwhile(const PoolId& cell, TimePoint now) const
{
    const double weight = weightOf(cell);
    WeightedLoad here { 0, m_processorShare };
    for (const auto& [owned, term] : m_ownedCells)
        here.weight += weightOf(owned);
    const auto isImprovement = [&](const WeightedLoad& there) {
        const double load = there.loadWith(weight);
        return load <= here.loadWith(-weight) || load < here.loadWith(0) * maxLoadRatio;
    };
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& each) {
        const Peer& peer = each.second;
        WeightedLoad there { 0, peer.announcement.processorShare };
        for (const OwnedCell& owned : peer.announcement.cells)
            there.weight += weightOf(owned.cell);
        return mayTake(peer, now) && isImprovement(there);
    });
}

std::optional<PoolId> Ownership::cellToHandBack(TimePoint now)
{
    const auto found = std::find_if(m_ownedCells.begin(), m_ownedCells.end(),
        [&](const auto& owned) { return isHandBackWorthwhile(owned.first, now); });
    if (found == m_ownedCells.end()) {
        m_unbalancedSince = now;
        return std::nullopt;
    }
    if (now - m_unbalancedSince < imbalanceDelay)
        return std::nullopt;
    m_unbalancedSince = now;
    return found->first;
}

std::uint64_t Ownership::latestSequenceOf(const NodeId& node, TimePoint now) const
{
    const auto peer = m_peers.find(node);
    return peer != m_peers.end() && isLive(peer->second, now) ? peer->second.announcement.sequence : 0;
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
