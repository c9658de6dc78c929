#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/maintenance_scheduler.h"
#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which node owns which cell. Nodes tell each other several times a second what they hold; whoever is silent loses
/// its cells to the nodes that have the most processor for them. The owner row in the cell's part decides races.
namespace rattanrack::jobs {

struct OwnedCell {
    PoolId cell;
    Fence term { 0 };

    friend bool operator==(const OwnedCell&, const OwnedCell&) = default;
};

constexpr double defaultProcessorShare = 1; ///< In cores, of a node that names none.

/// What a node says of itself to all others.
struct NodeAnnouncement {
    NodeId node;
    std::string address; ///< "ip:port" at which it takes peer messages.
    std::uint64_t sequence { 0 }; ///< Grows with each message of one life.
    bool isLeaving { false };
    bool isStoreReachable { true };
    std::vector<OwnedCell> cells;
    std::vector<MachineId> drainingMachines; ///< From the holder of the machines' duty: machines to be emptied.
    std::uint64_t drainingMachinesSequence {
        0
    }; ///< Number of the news that the sender knows the closing machines from.
    std::vector<MachineId> drainedMachines; ///< From owners of cells: closing machines on which nothing runs.
    std::vector<MachineId> movableMachines; ///< From owners of cells: machines on which nothing runs that lasts.
    std::vector<CellLoad> loads; ///< Of the cells that it owns.
    double processorShare { defaultProcessorShare }; ///< Cores, above 0: what the node may use.

    friend bool operator==(const NodeAnnouncement&, const NodeAnnouncement&) = default;
};

struct CellOwner {
    NodeId node;
    std::string address;
    Fence term { 0 };
};

/// Pure: no I/O, no clock. Not thread-safe.
class Ownership {
public:
    /// `processorShare`: cores that this node may use, above 0.
    Ownership(NodeId self, std::string address, TimePoint now, double processorShare = defaultProcessorShare);

    /// All that is to be owned. `duties` are those of the cells that cost their holder little.
    void setCells(std::vector<PoolId> cells, std::set<PoolId> duties = {});

    /// A node that the store lists; it is live once it has been heard.
    void addAddress(const std::string& address);

    void onAnnouncement(const NodeAnnouncement& news, TimePoint now);
    void setStoreReachable(bool isInReach) { m_isStoreReachable = isInReach; }
    void leave() { m_isLeaving = true; }

    void onCellTaken(const PoolId& cell, Fence term);
    void onCellDropped(const PoolId& cell);

    /// Taking a cell did not succeed; not tried again before a pause.
    void onTakeFailed(const PoolId& cell, TimePoint now);

    /// Cells that this node should take now. Each is named until `taken` or `takingFailed`.
    std::vector<PoolId> cellsToTake(TimePoint now) const;

    /// A cell that this node should hand back, as another node has far more processor for it.
    std::optional<PoolId> cellToHandBack(TimePoint now);

    std::optional<CellOwner> owner(const PoolId& cell, TimePoint now) const;
    bool isOwnedHere(const PoolId& cell) const { return m_held.contains(cell); }

    /// Where news goes to: all nodes known, dead ones for a while too.
    std::vector<std::string> announcementAddresses(TimePoint now) const;

    /// Peers that reach the store.
    std::vector<std::string> peersReachingStore(TimePoint now) const;

    /// Number of the latest news of a live node; 0: there is none.
    std::uint64_t latestSequenceOf(const NodeId& node, TimePoint now) const;

    /// What this node tells others; the lists of machines are left to the caller.
    NodeAnnouncement announcement();

    /// News of live nodes.
    std::vector<const NodeAnnouncement*> liveAnnouncements(TimePoint now) const;

private:
    struct Peer {
        NodeAnnouncement announcement;
        TimePoint receivedAt {};
    };
    bool isLive(const Peer& peer, TimePoint now) const;
    bool mayTake(const Peer& peer, TimePoint now) const;
    double weightOf(const PoolId& cell) const;
    bool isHandBackWorthwhile(const PoolId& cell, TimePoint now) const;

    NodeId m_self;
    std::string m_address;
    TimePoint m_startedAt;
    bool m_isLeaving { false };
    bool m_isStoreReachable { true };
    std::uint64_t m_sequence { 0 };
    double m_processorShare;
    std::vector<PoolId> m_cells;
    std::set<PoolId> m_duties;
    std::map<PoolId, Fence> m_held;
    std::map<PoolId, TimePoint> m_tryAgainAt;
    std::map<NodeId, Peer> m_peers;
    std::set<std::string> m_addressesWithoutPeer; ///< Addresses without news.
    TimePoint m_unbalancedSince {};
};

} // namespace rattanrack::jobs
