#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/announcement_routes.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/machine.h"
#include "rattanrack/jobs/maintenance_scheduler.h"
#include "rattanrack/jobs/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which node owns which cell. Nodes announce to each other several times a second which cells they own. When the
/// announcements of a node stop, its cells go to the nodes with the most processor capacity for them. The owner row in
/// the cell's part resolves races.
namespace rattanrack::jobs {

struct OwnedCell {
    PoolId cell;
    Fence term { 0 };

    friend bool operator==(const OwnedCell&, const OwnedCell&) = default;
};

constexpr double defaultProcessorShare = 1; ///< In cores, for a node that announces none.

/// A node that may take over cells.
struct TakeoverCandidate {
    NodeId node;
    double processorShare { defaultProcessorShare };

    friend bool operator==(const TakeoverCandidate&, const TakeoverCandidate&) = default;
};

/// An owner, and its latest announcement that has arrived.
struct SeenOwner {
    NodeId node;
    std::uint64_t sequence { 0 };

    friend bool operator==(const SeenOwner&, const SeenOwner&) = default;
};

/// What a node announces about itself to other nodes.
struct NodeAnnouncement {
    NodeId node;
    std::string address; ///< "ip:port" at which the node receives messages from peers.
    std::uint64_t sequence { 0 }; ///< Increases with each announcement of one run of the process.
    bool isLeaving { false };
    bool isStoreReachable { true };
    std::vector<OwnedCell> cells;
    std::vector<MachineId> drainingMachines; ///< Machines to drain; announced by the machine controller.
    /// Sequence number of the announcement from which the sender has the draining machines.
    std::uint64_t drainingMachinesSequence { 0 };
    DrainedMachines drainedMachines; ///< Draining machines without runs; announced by owners of cells.
    std::vector<MachineId> movableMachines; ///< Machines without long-running tasks; announced by owners of cells.
    std::vector<CellLoad> loads; ///< Of the cells that the node owns.
    double processorShare { defaultProcessorShare }; ///< Cores that the node may use, above 0.
    Duration interval {}; ///< The next announcement follows within this time; zero: within the usual one.
    std::vector<TakeoverCandidate> candidates {}; ///< The best nodes without cells; announced by owners.
    std::vector<SeenOwner> seenOwners {}; ///< Announcements of owners that have arrived at the sender.
    std::vector<std::string> relayTo {}; ///< Addresses that the receiver passes the announcement on to.
    bool isPassedOn { false }; ///< The receiver has it from another node.
    Duration uptime {}; ///< Time from the start of the process to the announcement; zero: unknown.
    Duration age {}; ///< For how long the node that has passed it on had it.

    friend bool operator==(const NodeAnnouncement&, const NodeAnnouncement&) = default;
};

struct CellOwner {
    NodeId node;
    std::string address;
    Fence term { 0 };
};

/// The owner of a cell before this one, as its row has shown it at the takeover.
struct PreviousOwner {
    NodeId process; ///< Empty: it handed the cell back.
    Fence term { 0 };
    /// For how long after the takeover owners of terms before `term` may still have granted leases.
    Duration earlierGrantsLeft {};
};

/// What the announcements of a process have shown is kept for this long after the last one. It outlasts every lease.
constexpr Duration peerRetention = std::chrono::minutes { 5 };

/// Decides from the announcements of all nodes which cells this node takes over or hands back. Pure: no I/O, no clock.
/// Not thread-safe.
class Ownership {
public:
    /// `processorShare`: cores that this node may use, above 0.
    Ownership(NodeId self, std::string address, TimePoint now, double processorShare = defaultProcessorShare);

    /// Sets all cells that need an owner. `duties`: those that cost their owner little.
    void setCells(std::vector<PoolId> cells, std::set<PoolId> duties = {});

    /// Adds a node that the store lists. It counts as live once it has sent an announcement.
    void addAddress(const std::string& address);

    /// Sets all nodes that the store lists, in ascending order, in place of those listed before. Nodes that have been
    /// silent for `peerRetention` and are not listed are removed.
    void setListedAddresses(const std::vector<std::string>& addresses, TimePoint now);

    void onAnnouncement(const NodeAnnouncement& announcement, TimePoint now);
    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }
    void leave() { m_isLeaving = true; }

    void onCellTaken(const PoolId& cell, Fence term, TimePoint now);
    void onCellDropped(const PoolId& cell, TimePoint now);

    /// Records whom this node has taken the cell over from. Call before `onCellTaken`.
    void onPreviousOwner(const PoolId& cell, const PreviousOwner& previous, TimePoint now);

    /// A takeover has failed; it is tried again after a pause.
    void onTakeFailed(const PoolId& cell, TimePoint now);

    /// Cells that this node may have to take over soon, since their owner's announcements are late. To be called
    /// several times a second.
    std::vector<PoolId> cellsToWatch(TimePoint now);

    /// Cells that this node should take over now: it is the best of the live nodes, or the better ones have not taken
    /// the cell in time. Each is returned until `onCellTaken` or `onTakeFailed`.
    std::vector<PoolId> cellsToTake(TimePoint now) const;

    /// Whether the process has ended, as this process or a later one of its node shows. It counts as ended as well if
    /// it is this process, which knows what it owns.
    bool hasEnded(const NodeId& process) const;

    /// Returns a cell that this node should hand back because another node has far more processor capacity for it.
    std::optional<PoolId> cellToHandBack(TimePoint now);

    /// Time since the last announcement by an owner of the cell; since the start of this process if there was none.
    Duration silenceOfOwner(const PoolId& cell, TimePoint now) const;

    /// Whether announcements of more than half of the nodes that have recently announced themselves arrive. Right after
    /// its start this node counts all listed addresses as such nodes.
    bool receivesMostNodes(TimePoint now) const;

    std::optional<CellOwner> owner(const PoolId& cell, TimePoint now) const;

    /// Latest time at which the owners of earlier terms than `term` may have granted a lease. An owner grants leases
    /// until its announcements no longer contain the cell, its process has ended, or `ownershipTimeout` after the next
    /// takeover. An announcement of a later process of its node proves that it has ended. `takenOverAt`: when this node
    /// took the cell over under `term`.
    TimePoint latestEarlierGrant(
        const PoolId& cell, Fence term, TimePoint takenOverAt, Duration ownershipTimeout) const;

    bool isOwnedHere(const PoolId& cell) const { return m_ownedCells.contains(cell); }

    /// Addresses of all known nodes, including dead ones for a while; sorted.
    std::vector<std::string> announcementAddresses(TimePoint now) const;

    /// Where to send the announcement with that sequence number. `direct` is sent it without a relay, if it is known.
    std::vector<AnnouncementRoute> announcementRoutes(
        const std::string& direct, std::uint64_t sequence, TimePoint now) const;

    /// Announcements of owners that the sender of `announcement` has not received, although they have arrived here.
    std::vector<NodeAnnouncement> announcementsMissedBy(const NodeAnnouncement& announcement, TimePoint now) const;

    /// Addresses of live peers that reach the store and are not leaving.
    std::vector<std::string> peersReachingStore(TimePoint now) const;

    /// Sequence number of the latest announcement of a live node; 0: there is none.
    std::uint64_t latestSequenceOf(const NodeId& node, TimePoint now) const;

    /// Time since the last announcement of that process; empty if none has been received.
    std::optional<Duration> silence(const NodeId& process, TimePoint now) const;

    /// Returns this node's next announcement; the caller adds the lists of machines, and calls `complete` before it is
    /// sent.
    NodeAnnouncement announcement();

    /// Adds what differs in each announcement: the uptime, the candidates, and the owners that this node has seen.
    void complete(NodeAnnouncement& announcement, TimePoint now) const;

    /// Latest announcements of all live nodes.
    std::vector<const NodeAnnouncement*> liveAnnouncements(TimePoint now) const;

private:
    struct Peer {
        NodeAnnouncement announcement;
        TimePoint receivedAt {};
        TimePoint startedBy {}; ///< The process had started by then, as the announcements so far have shown.
    };
    /// What announcements have shown of a cell's owner in one term.
    struct Tenure {
        TimePoint firstSeenAt {}; ///< The term had begun by then.
        NodeId process; ///< Of the owner; empty if unknown.
        std::optional<TimePoint> releasedAt; ///< The owner had given the cell up, or its process had ended, by then.
        std::optional<TimePoint> earlierGrantsEndAt; ///< Owners of earlier terms granted no lease later, by its row.
    };

    bool isLive(const Peer& peer, TimePoint now) const;
    void recordOwned(const OwnedCell& owned, const NodeId& process, TimePoint now);
    void recordEndedBefore(const NodeId& process);
    bool hasReplaced(const NodeId& later, const NodeId& earlier) const;
    void recordReleased(const OwnedCell& released, TimePoint now);
    void recordAnnouncedCells(const NodeId& process, const std::vector<OwnedCell>& before,
        const std::vector<OwnedCell>& after, TimePoint now);
    bool areAllNew(TimePoint now) const;
    bool mayTake(const Peer& peer, TimePoint now) const;
    bool isCandidate(const Peer& peer, TimePoint now) const;
    Duration idleInterval() const;
    std::set<std::string> addressesOfOwners(TimePoint now) const;
    std::vector<TakeoverCandidate> candidates(TimePoint now) const;
    double weightOf(const PoolId& cell) const;
    std::optional<CellOwner> ownerWithin(const PoolId& cell, Duration timeout, TimePoint now) const;
    std::map<PoolId, std::size_t> ranksOfFreeCells(Duration timeout, TimePoint now) const;
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
    std::map<PoolId, Fence> m_ownedCells;
    TimePoint m_lastDropAt {};
    std::map<PoolId, TimePoint> m_retryAt;
    std::map<PoolId, TimePoint> m_freeSince; ///< Cells without an owner.
    /// This node's best ranks for the cells that it watches. They are kept until an owner announces itself: another
    /// node that becomes the best one later has not watched the cell for long enough.
    std::map<PoolId, std::size_t> m_bestRanks;
    std::map<NodeId, Peer> m_peers;
    std::set<std::string> m_addressesWithoutPeer; ///< Addresses that no announcement has come from.
    TimePoint m_unbalancedSince {};
    std::map<NodeId, TimePoint> m_processes; ///< All that have sent an announcement, and when the first arrived.
    std::map<PoolId, std::map<Fence, Tenure>> m_tenures;
};

} // namespace rattanrack::jobs
