#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/messages.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/policy/claim_home.h"

#include <functional>
#include <memory>

/// At-most-once claims over the platform's table: records claims here for the shards that this node is the home of, and
/// asks the home of all others.
namespace rattanrack::claims {

/// Names that the store uses in the table: duty rows are "duty/claims/<shard>", records "claims/<shard>/<sequence>".
std::string claimDutyName(policy::ClaimShardIndex); ///< Without the prefix "duty/".

struct ClaimStoreSettings {
    policy::ClaimHomeSettings home;
    Duration answerTimeout { std::chrono::seconds { 3 } }; ///< After this a claim is answered as Unavailable.
    std::size_t maxForwarded { 10000 }; ///< Claims that wait for the answer of another node.
};

struct ClaimStoreCounters {
    std::uint64_t submitted { 0 };
    std::uint64_t forwarded { 0 };
    std::uint64_t unavailable { 0 }; ///< Submitted claims that were answered as Unavailable.
    std::uint64_t commits { 0 }; ///< Transactions handed to the table, repeated ones included.
    std::uint64_t records { 0 };
    std::uint64_t rows { 0 };
    std::uint64_t queued { 0 };
};

/// All functions are safe from every thread and return at once: one thread of its own decides, another talks to the
/// table. Callbacks run on the deciding thread and must not block. An answer Unavailable does not prove that nothing
/// was recorded: the owner either submits the same claim again or, when it gives up, submits it as Withdrawn.
///
///     BOOST_LEAF_AUTO(store, ClaimStore::create(settings, table, clock, send));
///     store->submit(claim, [](const policy::ClaimAnswer& answer) { ... });
class ClaimStore {
public:
    using Callback = std::function<void(const policy::ClaimAnswer&)>;
    using SendRequest = std::function<void(const NodeId& home, peer::ClaimRequest)>;
    using SendReply = std::function<void(peer::ClaimReply)>;

    /// `table` and `clock` must outlive it. `send` is called on the deciding thread. Errors: InvalidArgument (no
    /// shards, no node id).
    static Result<std::unique_ptr<ClaimStore>> create(
        const ClaimStoreSettings&, platform::Table& table, const Clock& clock, SendRequest send);

    /// Ends both threads; what still waits is answered as Unavailable.
    ~ClaimStore();
    ClaimStore(const ClaimStore&) = delete;
    ClaimStore& operator=(const ClaimStore&) = delete;

    /// Records a claim, or the settlement of one. The callback runs exactly once.
    void submit(policy::Claim, Callback);

    /// This node took the shard's duty, whose row now has `dutyVersion`. Loads the shard, again until that succeeds.
    void takeShard(policy::ClaimShardIndex, platform::RowVersion dutyVersion);
    void dropShard(policy::ClaimShardIndex);

    /// Who holds the shard's duty, as last seen. An empty id: nobody.
    void setHome(policy::ClaimShardIndex, NodeId home);

    /// A claim from another node for a shard of this one.
    void onRequest(peer::ClaimRequest, SendReply);
    void onReply(peer::ClaimReply);

    ClaimStoreCounters counters() const;

private:
    struct State;
    explicit ClaimStore(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::claims
