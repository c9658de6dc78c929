#pragma once

#include "rattanrack/policy/claim_shard.h"

#include <optional>
#include <string>

/// The node that keeps the records of some shards: it judges claims and makes changes durable in batches.
namespace rattanrack::policy {

using ClaimTicket = std::uint64_t; ///< Chosen by the submitter; comes back with the answer.
using ClaimDutyVersion = std::uint64_t; ///< Version of the duty row under which a shard is held.

struct ClaimHomeSettings {
    NodeId self;
    std::uint32_t shardCount { 8 }; ///< The same in the whole federation, and for good.
    Duration commitInterval { std::chrono::milliseconds { 50 } }; ///< Least time from one commit's start to the next.
    Duration retryPause { std::chrono::milliseconds { 100 } };
    Duration retention { std::chrono::minutes { 10 } }; ///< How long finished records are kept.
    std::size_t maxQueued { 10000 };
    std::size_t maxBatchClaims { 1000 };
    std::size_t maxBatchBytes { 256U << 10U };
    std::size_t maxRemovals { 200 }; ///< Old rows that one commit removes.
};

/// A row to append, on condition that the shard's duty row has `dutyVersion` and the row is absent.
struct ClaimAppend {
    ClaimShardIndex shard { 0 };
    ClaimDutyVersion dutyVersion { 0 };
    ClaimRowSequence sequence { 0 };
    std::string value;
};

/// Old rows to remove under the same condition.
struct ClaimRemoval {
    ClaimShardIndex shard { 0 };
    ClaimDutyVersion dutyVersion { 0 };
    std::vector<ClaimRowSequence> sequences;
};

/// One transaction. It is sent again with identical content until its outcome is known.
struct ClaimBatch {
    std::uint64_t id { 0 };
    std::vector<ClaimAppend> appends;
    std::vector<ClaimRemoval> removals;
};

enum class ClaimCommitStatus : std::uint8_t { Done, Conflict, Refused, Unavailable, Unknown };

/// What the table holds for one shard of a batch, all shards read together.
struct ClaimShardReading {
    ClaimShardIndex shard { 0 };
    ClaimDutyVersion dutyVersion { 0 };
    std::optional<std::string> value; ///< Of the row that the batch appends.
};

struct TicketAnswer {
    ClaimTicket ticket { 0 };
    ClaimAnswer answer;
};

/// What the owner of a ClaimHome has to carry out.
struct ClaimEffects {
    std::vector<TicketAnswer> answers;
    std::optional<ClaimBatch> commit; ///< Answer with `onCommit`.
    std::optional<ClaimBatch> readBack; ///< Read duty and appended rows of these shards, answer with `onReadBack`.
    std::vector<ClaimShardIndex> lost; ///< Another node holds these shards now.
};

/// All shards that one node is the home of. At most one commit is in flight; a first change goes at once, later ones
/// gather until the commit interval and the commit before are over. An answer that rests on a change is given only
/// when the change is durable. Pure; not thread-safe.
///
///     auto effects = home.submit(ticket, claim, deadline, now);
class ClaimHome {
public:
    explicit ClaimHome(ClaimHomeSettings);

    /// This node took the duty with `version`, and then read `rows`, all rows of the shard in ascending order.
    ClaimEffects takeShard(ClaimShardIndex, ClaimDutyVersion version, const std::vector<ClaimRow>& rows, TimePoint now);
    ClaimEffects dropShard(ClaimShardIndex, TimePoint now);

    /// Unavailable is answered at `giveUpAt` at the latest, and at once for shards that are not held here.
    ClaimEffects submit(ClaimTicket, const Claim&, Deadline giveUpAt, TimePoint now);

    ClaimEffects onCommit(std::uint64_t batch, ClaimCommitStatus, TimePoint now);

    /// Without readings when the table could not be read.
    ClaimEffects onReadBack(
        std::uint64_t batch, const std::optional<std::vector<ClaimShardReading>>& readings, TimePoint now);

    /// Call at `wakeUpAt`, and at least every 50 ms, so that overdue tickets are answered.
    ClaimEffects tick(TimePoint now);

    /// When the next commit is due; never while nothing waits or an answer of the table is awaited.
    Deadline wakeUpAt() const;

    bool holds(ClaimShardIndex shard) const { return m_shards.contains(shard); }
    std::size_t recordCount() const;
    std::size_t rowCount() const;
    std::size_t queuedCount() const { return m_queue.size(); }

private:
    struct HeldShard {
        ClaimDutyVersion version { 0 };
        ClaimShard records;
    };
    struct Item {
        ClaimTicket ticket { 0 };
        Claim claim;
        Deadline giveUpAt;
        std::size_t bytes { 0 };
        bool isAnswered { false };
    };
    struct InFlight {
        ClaimBatch batch;
        std::map<ClaimShardIndex, std::vector<Claim>> changes;
        std::vector<Item> items;
        Deadline retryAt { Deadline::never() }; ///< Never while an answer of the table is awaited.
        bool mayHaveApplied { false };
    };
    /// In the order of their weight: one shard's word for a later one decides for the whole batch.
    enum class BatchFate : std::uint8_t { Open, Fenced, Applied };

    HeldShard* shardOf(const Claim&);
    bool isKeyInFlight(const IdempotencyKey&) const;
    void answer(ClaimEffects&, Item&, ClaimVerdict, const Claim& = {});
    void advance(ClaimEffects&, TimePoint now);
    void giveUpOverdue(ClaimEffects&, TimePoint now);
    void startBatch(ClaimEffects&, TimePoint now);
    void gather(ClaimEffects&, InFlight&);
    bool place(ClaimEffects&, InFlight&, Item&, std::size_t& bytes);
    void addAppends(InFlight&) const;
    void addRemovals(InFlight&) const;
    void retryLater(TimePoint now);
    void finishApplied(ClaimEffects&, TimePoint now);
    void finishRefused(ClaimEffects&);
    void finishFenced();
    void loseShards(ClaimEffects&, const std::vector<ClaimShardReading>&);
    BatchFate fateOf(const ClaimShardReading&) const;

    ClaimHomeSettings m_settings;
    std::map<ClaimShardIndex, HeldShard> m_shards;
    std::deque<Item> m_queue;
    std::optional<InFlight> m_inFlight;
    std::uint64_t m_lastBatch { 0 };
    Deadline m_nextCommitAt;
};

} // namespace rattanrack::policy
