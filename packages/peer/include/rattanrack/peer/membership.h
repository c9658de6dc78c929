#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/peer/messages.h"
#include "rattanrack/peer/node_row.h"
#include "rattanrack/peer/table_exchange.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Membership: which nodes exist and which of them are alive. There are two kinds of evidence: rows in the table, each
/// renewed by its node, and heartbeats, which each node gossips to a few peers at a time.
namespace rattanrack::peer {

constexpr Duration heartbeatPeriod = std::chrono::seconds { 1 };
constexpr Duration renewalPeriod = std::chrono::seconds { 2 };
constexpr Duration nodeScanPeriod = std::chrono::seconds { 10 };
constexpr Duration suspectReadPeriod = std::chrono::seconds { 1 }; ///< Between reads of the rows of suspected nodes.
/// A node is suspected after this time without news of it from peers.
constexpr Duration suspicionTimeout = std::chrono::seconds { 8 };
/// A node may act on its duties for `nodeLease` after each renewal of its row. Other nodes take its duties over once
/// the row has not changed for `nodeLease`, or for `nodeLeaseWhenReachable` while peers still receive its heartbeats.
constexpr Duration nodeLease = std::chrono::seconds { 6 };
constexpr Duration nodeLeaseWhenReachable = std::chrono::seconds { 18 };
/// A suspected node is gone when its row has not changed for this long.
constexpr Duration goneTimeout = std::chrono::seconds { 12 };
/// Time from the state Gone to the removal of the row.
constexpr Duration rowRemovalDelay = std::chrono::seconds { 60 };
/// A longer time between two ticks counts as a pause of this process.
constexpr Duration pauseThreshold = std::chrono::seconds { 1 };
constexpr std::size_t heartbeatFanOut = 2; ///< Peers that each heartbeat is sent to.
constexpr std::size_t maxSeenEntries = 48; ///< Entries on other nodes in one heartbeat.
constexpr std::size_t maxIntroductions = 2; ///< Whole member records in one heartbeat.
constexpr std::size_t maxMembers = 512;
constexpr std::size_t maxSuspectReads = 16; ///< Rows of suspected nodes in one read.
constexpr Duration goneMemberRetention = std::chrono::minutes { 10 }; ///< A gone member is removed after this time.
/// Heartbeats introduce a new or leaving member for this long.
constexpr Duration introductionTime = std::chrono::seconds { 10 };

/// Hash that identifies a node in heartbeats.
std::uint32_t nodeHash(const NodeId& id);

struct MembershipSettings {
    NodeId self;
    std::string address; ///< "ip:port" at which this node accepts peer messages.
    DataCenterId dataCenter;
    std::vector<std::string> seeds; ///< Addresses to try while no other node is known. May be empty.
    /// Different in each process; seeds the jitter of timers and the choice of targets.
    std::uint32_t randomSeed { 1 };
};

/// What this node reports about itself in heartbeats.
struct NodeDigest {
    std::uint64_t configVersion { 0 };
    std::uint64_t viewVersion { 0 };
    std::uint32_t load { 0 }; ///< Queued and running requests.
};

enum class MemberState : std::uint8_t {
    Live,
    /// No news of the node from peers for `suspicionTimeout`. Gets no new duties, but keeps its own while it renews its
    /// row.
    Suspected,
    Gone, ///< Its row has expired, is fenced or was removed. Kept for a while so that its duties can be taken over.
};

/// Another node, as known to this one.
struct Member {
    NodeId id;
    std::string address;
    DataCenterId dataCenter;
    MemberState state { MemberState::Live };
    bool isLeaving { false };
    NodeDigest digest;
    platform::RowVersion rowVersion { 0 }; ///< 0: no row has been read, or the row was removed.
    NodeRow row; ///< The row as last read, when `rowVersion` is not 0.
    /// First read of this row version, by this node's clock; restarts after a pause or an outage.
    TimePoint rowUnchangedSince;
    TimePoint rowReadAt; ///< Latest read of the row.
    TimePoint lastSeenAt; ///< Latest news of the node from peers.
    TimePoint liveSince; ///< When the member became live.

    /// How long the row has been unchanged, or absent, according to reads of the table.
    Duration rowAge() const { return rowReadAt - rowUnchangedSince; }
};

enum class MemberEvent : std::uint8_t { Joined, Suspected, Recovered, Leaving, Gone };

struct MemberChange {
    MemberEvent event { MemberEvent::Joined };
    NodeId id;
    std::string address;
};

/// A message for PeerNetwork::send.
struct OutgoingMessage {
    std::string address;
    Message message;
};

/// Change of this node's own row.
enum class OwnRowEvent : std::uint8_t {
    None,
    Registered, ///< The row is stored; the node may take duties.
    Fenced, ///< Another node fenced or removed the row; a new row will be written.
};

struct MembershipOutput {
    std::vector<MemberChange> changes;
    std::vector<OutgoingMessage> messages;
    TableRequests requests;
    OwnRowEvent ownRow { OwnRowEvent::None };
};

/// What decisions on duties depend on: this node's own lease and all other nodes, gone ones included.
struct LivenessView {
    Deadline ownLease; ///< The node may act on its duties until then; in the past when the row could not be renewed.
    bool isLeaving { false };
    bool isTableReachable { false };
    std::vector<Member> members;
};

/// Membership on one node: a state machine without I/O and without a clock. Not thread-safe.
///
///     auto output = membership.tick(now);       // at least every 250 ms
///     auto more = membership.onHeartbeat(heartbeat, now);
class Membership {
public:
    Membership(MembershipSettings settings, TimePoint now);
    ~Membership();
    Membership(Membership&&) noexcept;
    Membership& operator=(Membership&&) noexcept;

    /// Renews this node's row, reads other rows and sends heartbeats, each when due. Call at least every 250 ms.
    MembershipOutput tick(TimePoint now);

    /// Processes a peer's heartbeat.
    MembershipOutput onHeartbeat(const Heartbeat& heartbeat, TimePoint now);

    /// Processes the response to a request of an earlier output.
    MembershipOutput onResponse(const TableResponse& response, TimePoint now);

    /// Sets what the next heartbeats report about this node.
    void setDigest(const NodeDigest& digest);

    /// Marks this node as leaving, in its row and in its heartbeats from the next tick on.
    void leave();

    /// Removes this node's row; the last step of a graceful stop.
    MembershipOutput removeOwnRow();

    /// The live members, without this node.
    std::vector<NodeId> liveMembers() const;

    /// This node's lease and all other members, for decisions on duties.
    LivenessView liveness() const;

    /// Whether this node's row is stored and its lease has not expired.
    bool isRegistered(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::peer
