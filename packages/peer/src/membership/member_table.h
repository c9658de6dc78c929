#pragma once

#include "rattanrack/peer/membership.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace rattanrack::peer {

/// A read of the table returns the rows as they were at some time between these two.
struct ReadTimes {
    TimePoint sent;
    TimePoint received;
};

/// All other nodes: what is known of each, and the state that follows from it.
class MemberTable {
public:
    struct Entry {
        Member member;
        std::uint64_t sequence { 0 }; ///< Highest heartbeat sequence known.
        Deadline introduceUntil;
        TimePoint goneSince;
    };

    explicit MemberTable(NodeId self)
        : m_self(std::move(self))
    {
    }

    /// Processes a peer's heartbeat, and what it reports about other nodes.
    void onHeartbeat(const Heartbeat& heartbeat, TimePoint now, MembershipOutput& output);

    /// Processes a read of all node rows. Members without a row count as removed from the table.
    void onScan(const platform::Rows& rows, ReadTimes times, MembershipOutput& output);

    /// Processes a read of the rows of `requested`; `rows` contains those that exist.
    void onRead(
        const std::vector<NodeId>& requested, const platform::Rows& rows, ReadTimes times, MembershipOutput& output);

    /// Call when the table could not be read. The age of every row then counts from the next read on.
    void onTableUnreachable() { m_mustRestartRowTimers = true; }

    /// Call after a pause of this process of length `gap`, which does not count against other members.
    void onPause(TimePoint now, Duration gap);

    /// Marks members as suspected or gone, and removes gone ones, when the respective timeout has passed.
    void updateStates(TimePoint now, MembershipOutput& output);

    /// Suspected members whose rows are to be read next, at most `maxSuspectReads`, in round-robin order.
    std::vector<NodeId> suspectsToRead();

    /// A gone member whose row this node should remove now; null when there is none.
    const Entry* rowToRemove(TimePoint now) const;

    const std::map<NodeId, Entry>& entries() const { return m_entries; }
    std::vector<NodeId> live() const;

private:
    Entry* find(const NodeId& id);
    Entry* add(const NodeId& id, TimePoint now);
    void introduce(const Introduction& introduction, TimePoint now, MembershipOutput& output);
    void recordSequence(Entry& entry, std::uint64_t sequence, TimePoint now, MembershipOutput& output);
    void observeRow(const platform::Row& row, ReadTimes times, MembershipOutput& output);
    void observeAbsence(Entry& entry, ReadTimes times);
    void restartRowTimers(TimePoint now);
    void markLive(Entry& entry, TimePoint now, MembershipOutput& output);
    void setLeaving(Entry& entry, TimePoint now, MembershipOutput& output);
    void suspectReplacedNodes(const Entry& successor, TimePoint now);
    bool isGone(const Entry& entry, TimePoint now) const;

    NodeId m_self;
    std::map<NodeId, Entry> m_entries;
    std::unordered_map<std::uint32_t, NodeId> m_byHash;
    bool m_mustRestartRowTimers { true };
    NodeId m_lastSuspectRead;
};

} // namespace rattanrack::peer
