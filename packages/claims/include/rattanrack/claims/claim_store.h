#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/messages.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/policy/claim_home.h"

#include <functional>
#include <memory>

/// At-most-once claims, stored in the platform's table. Records the claims of the shards that this node holds, and
/// forwards all others to the nodes that hold their shards.
namespace rattanrack::claims {

/// Name of a shard's duty, without the prefix "duty/". In the table, the duty's row is "duty/claims/<shard>", and the
/// shard's records are "claims/<shard>/<sequence>".
std::string claimDutyName(policy::ClaimShardIndex);

struct ClaimStoreSettings {
    policy::ClaimHomeSettings home;
    Duration answerTimeout { std::chrono::seconds { 3 } }; ///< After this time a claim is answered with Unavailable.
    /// Claims that wait for the reply of another node; further ones are answered with Unavailable.
    std::size_t maxForwarded { 10000 };
};

struct ClaimStoreCounters {
    std::uint64_t submitted { 0 };
    std::uint64_t forwarded { 0 };
    std::uint64_t unavailable { 0 }; ///< Submitted claims that were answered with Unavailable.
    std::uint64_t commits { 0 }; ///< Transactions sent to the table, retries included.
    std::uint64_t records { 0 };
    std::uint64_t rows { 0 };
    std::uint64_t queued { 0 };
};

/// Thread-safe; all functions return at once. One internal thread makes the decisions, another one accesses the table.
/// Callbacks run on the decision thread and must not block. The answer Unavailable does not prove that nothing was
/// recorded: the owner either submits the same claim again or, when it gives up, submits the claim as Withdrawn.
///
///     BOOST_LEAF_AUTO(store, ClaimStore::create(settings, table, clock, send));
///     store->submit(claim, [](const policy::ClaimAnswer& answer) { ... });
class ClaimStore {
public:
    using Callback = std::function<void(const policy::ClaimAnswer&)>;
    using SendRequest = std::function<void(const NodeId& home, peer::ClaimRequest)>;
    using SendReply = std::function<void(peer::ClaimReply)>;

    /// `table` and `clock` must outlive the store. `send` is called on the decision thread. Errors: InvalidArgument (no
    /// shards, no node id).
    static Result<std::unique_ptr<ClaimStore>> create(
        const ClaimStoreSettings&, platform::Table& table, const Clock& clock, SendRequest send);

    /// Stops both threads. Claims that still wait are answered with Unavailable.
    ~ClaimStore();
    ClaimStore(const ClaimStore&) = delete;
    ClaimStore& operator=(const ClaimStore&) = delete;

    /// Records a claim, or a change of its state. The callback runs exactly once.
    void submit(policy::Claim, Callback);

    /// Call when this node has taken the shard's duty, whose row has the version `dutyVersion`. Loads the shard, and
    /// retries until that succeeds.
    void takeShard(policy::ClaimShardIndex, platform::RowVersion dutyVersion);
    void dropShard(policy::ClaimShardIndex);

    /// Sets the node that holds the shard's duty; an empty id: none.
    void setHome(policy::ClaimShardIndex, NodeId home);

    /// Processes a claim that another node has forwarded to this one.
    void onRequest(peer::ClaimRequest, SendReply);
    void onReply(peer::ClaimReply);

    ClaimStoreCounters counters() const;

private:
    struct State;
    explicit ClaimStore(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::claims
