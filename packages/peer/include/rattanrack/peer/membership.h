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

/// Which nodes there are, and which of them are alive, from two kinds of evidence: rows in the table that each node
/// renews, and heartbeats that spread over a few peers at a time.
namespace rattanrack::peer {

constexpr Duration heartbeatPeriod = std::chrono::seconds { 1 };
constexpr Duration renewalPeriod = std::chrono::seconds { 2 };
constexpr Duration nodeScanPeriod = std::chrono::seconds { 10 };
constexpr Duration suspectReadPeriod
    = std::chrono::seconds { 1 }; ///< Pause between reads of the rows of suspected nodes.
constexpr Duration suspicionTimeout = std::chrono::seconds { 8 }; ///< Without any news of a node from peers.
constexpr Duration nodeLease = std::chrono::seconds { 6 }; ///< A row unchanged for this long stands for a dead node...
constexpr Duration nodeLeaseWhenReachable
    = std::chrono::seconds { 18 }; ///< ...or for this long while peers still hear it.
constexpr Duration goneTimeout = std::chrono::seconds { 12 }; ///< Row unchanged and peers silent.
constexpr Duration rowRemovalDelay = std::chrono::seconds { 60 }; ///< Time from gone to the removal of the row.
constexpr Duration pauseThreshold
    = std::chrono::seconds { 1 }; ///< A tick that comes later than this follows a pause of this node.
constexpr std::size_t heartbeatFanOut = 2; ///< Peers that a heartbeat goes to.
constexpr std::size_t maxSeenEntries = 48; ///< News of other nodes in one heartbeat.
constexpr std::size_t maxIntroductions = 2; ///< Whole member records in one heartbeat.
constexpr std::size_t maxMembers = 512;
constexpr std::size_t maxSuspectReads = 16; ///< Rows of suspected nodes in one read.
constexpr Duration goneMemberRetention = std::chrono::minutes { 10 }; ///< A gone member is remembered this long.
constexpr Duration introductionTime = std::chrono::seconds { 10 }; ///< A new or leaving member is introduced this long.

/// Short name of a node in heartbeats.
std::uint32_t nodeHash(const NodeId& id);

struct MembershipSettings {
    NodeId self;
    std::string address; ///< "ip:port" at which this node takes peer messages.
    DataCenterId dataCenter;
    std::vector<std::string> seeds; ///< Addresses to try while no other node is known. May be empty.
    std::uint32_t randomSeed { 1 }; ///< Different in each process; spreads timers and targets.
};

/// What this node reports of itself in heartbeats.
struct NodeDigest {
    std::uint64_t configVersion { 0 };
    std::uint64_t viewVersion { 0 };
    std::uint32_t load { 0 }; ///< Queued and running requests.
};

enum class MemberState : std::uint8_t {
    Live,
    Suspected, ///< Not heard of through any peer for a while. Gets no new duties; keeps those that it renews.
    Gone, ///< The table shows it dead or removed. Kept for a while so that its duties can be taken over.
};

/// Another node as this one sees it.
struct Member {
    NodeId id;
    std::string address;
    DataCenterId dataCenter;
    MemberState state { MemberState::Live };
    bool isLeaving { false };
    NodeDigest digest;
    platform::RowVersion rowVersion { 0 }; ///< 0: no row seen, or removed.
    NodeRow row; ///< Last row seen, when `rowVersion` is not 0.
    TimePoint rowUnchangedSince; ///< First read of this version, by this node's clock; anew after a pause or an outage.
    TimePoint rowReadAt; ///< Latest read of the row.
    TimePoint lastSeenAt; ///< Latest news through peers.
    TimePoint liveSince; ///< When it became live.

    /// How long reads have shown the row unchanged, or absent.
    Duration rowAge() const { return rowReadAt - rowUnchangedSince; }
};

enum class MemberEvent : std::uint8_t { Joined, Suspected, Recovered, Leaving, Gone };

struct MemberChange {
    MemberEvent event { MemberEvent::Joined };
    NodeId id;
    std::string address;
};

/// A message to hand to PeerNetwork::send.
struct OutgoingMessage {
    std::string address;
    Message message;
};

/// What has happened to this node's own row.
enum class OwnRowEvent : std::uint8_t {
    None,
    Registered, ///< The row stands; duties may be taken.
    Fenced, ///< Another node declared this one dead; a new row is on its way.
};

struct MembershipOutput {
    std::vector<MemberChange> changes;
    std::vector<OutgoingMessage> messages;
    TableRequests requests;
    OwnRowEvent ownRow { OwnRowEvent::None };
};

/// Everything that decisions on duties need: this node's own lease and all other nodes, gone ones included.
struct LivenessView {
    Deadline ownLease; ///< Until when this node may act on its duties; past when the row could not be renewed.
    bool isLeaving { false };
    bool isTableReachable { false };
    std::vector<Member> members;
};

/// One node's membership. Pure: no I/O, no clock. Not thread-safe.
///
///     auto output = membership.tick(now);       // at least every 250 ms
///     auto more = membership.onHeartbeat(heartbeat, now);
class Membership {
public:
    Membership(MembershipSettings settings, TimePoint now);
    ~Membership();
    Membership(Membership&&) noexcept;
    Membership& operator=(Membership&&) noexcept;

    MembershipOutput tick(TimePoint now);
    MembershipOutput onHeartbeat(const Heartbeat& heartbeat, TimePoint now);

    /// Hands back the answer to a request of an earlier output.
    MembershipOutput onResponse(const TableResponse& answer, TimePoint now);

    /// What the next heartbeats say of this node.
    void setDigest(const NodeDigest& digest);

    /// Marks this node as leaving: the row and heartbeats say so from the next tick on.
    void leave();

    /// Removes the own row; the last step of a graceful stop.
    MembershipOutput removeOwnRow();

    /// Members that are live, without this node.
    std::vector<NodeId> liveMembers() const;
    LivenessView liveness() const;

    /// Whether the own row stands and is renewed.
    bool isRegistered(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::peer
