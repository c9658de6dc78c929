#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/claims.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace rattanrack::policy {

using ClaimShardIndex = std::uint32_t;
using ClaimRowSequence = std::uint64_t; ///< Number of a row inside its shard; rows are appended in ascending order.

/// The shard that keeps `key`, the same on every node. `shardCount` is above 0 and the same in the whole federation.
ClaimShardIndex claimShardOf(const IdempotencyKey& key, std::uint32_t shardCount);

/// One row of a shard: the records that one commit appended.
struct ClaimRow {
    ClaimRowSequence sequence { 0 };
    std::vector<Claim> claims;
};

/// What a shard says to a request for a new record or a new state.
struct ClaimDecision {
    ClaimVerdict verdict { ClaimVerdict::Taken };
    Claim claim; ///< The record in force once `needsCommit` is settled.
    bool needsCommit { false }; ///< The verdict counts only when `claim` has become durable.
};

/// The records of one shard, as its durable rows give them. A finished record is kept for the retention time, a claimed
/// one until it is settled. Pure; not thread-safe.
///
///     const auto decision = shard.decide(claim);
///     if (decision.needsCommit)
///         appendRow(shard.nextSequence(), decision.claim);
class ClaimShard {
public:
    /// `rows` are all rows of the shard in ascending order. Finished records are kept for `retention` from `now` on.
    ClaimShard(const std::vector<ClaimRow>& rows, Duration retention, TimePoint now);

    /// Judges a claim (state Claimed), or the settlement of one (any other state).
    ClaimDecision decide(const Claim&) const;

    ClaimRowSequence nextSequence() const { return m_nextSequence; }

    /// A row has become durable.
    void apply(const ClaimRow&, TimePoint now);

    /// Forgets finished records whose time is over.
    void expire(TimePoint now);

    /// Rows without a record in force, oldest first, at most `limit`. A row may be removed only after all before it.
    std::vector<ClaimRowSequence> removableRows(std::size_t limit) const;

    /// The first `count` removable rows are gone.
    void forgetRemovedRows(std::size_t count);

    std::size_t recordCount() const { return m_records.size(); }
    std::size_t rowCount() const { return m_liveInRow.size() + m_removable.size(); }

private:
    struct Record {
        Claim claim;
        ClaimRowSequence row { 0 };
    };
    struct Expiry {
        Deadline deadline;
        IdempotencyKey key;
        ClaimRowSequence row { 0 };
    };

    ClaimDecision decideClaim(const Claim&) const;
    ClaimDecision decideSettlement(const Claim&) const;
    void leaveRow(ClaimRowSequence);

    Duration m_retention;
    ClaimRowSequence m_nextSequence { 1 };
    std::unordered_map<IdempotencyKey, Record> m_records;
    std::map<ClaimRowSequence, std::size_t> m_liveInRow;
    std::deque<ClaimRowSequence> m_removable;
    std::deque<Expiry> m_expiries;
};

} // namespace rattanrack::policy
