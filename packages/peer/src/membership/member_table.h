#pragma once

#include "rattanrack/peer/membership.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace rattanrack::peer {

/// A read of the table shows rows as they were at some time between these two.
struct ReadTimes {
    TimePoint sent;
    TimePoint answered;
};

/// All other nodes, what is known of each, and what follows from it.
class MemberTable {
public:
    struct Entry {
        Member member;
        std::uint64_t sequence { 0 }; ///< Highest heartbeat known of.
        Deadline introduceUntil;
        TimePoint goneSince;
    };

    explicit MemberTable(NodeId self)
        : m_self(std::move(self))
    {
    }

    /// Evidence from a peer: its own heartbeat, and what it says of others.
    void onHeartbeat(const Heartbeat& heartbeat, TimePoint now, MembershipOutput& output);

    /// All node rows; members without one have lost it.
    void onScan(const platform::Rows& rows, ReadTimes times, MembershipOutput& output);

    /// The rows that exist among those of `asked`.
    void onRead(
        const std::vector<NodeId>& asked, const platform::Rows& rows, ReadTimes times, MembershipOutput& output);

    /// The table could not be read: rows are watched anew from the next read on.
    void onTableUnreachable() { m_mustRestartRowTimers = true; }

    /// This node stood still: nobody is to be judged by that time.
    void onPause(TimePoint now, Duration gap);

    /// Suspects and gives up members whose evidence has run out.
    void updateStates(TimePoint now, MembershipOutput& output);

    /// Members that are suspected, in turn.
    std::vector<NodeId> suspectsToRead();

    /// A gone member whose row `self` should remove now; null when there is none.
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
