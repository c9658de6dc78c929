#pragma once

#include "serial_executor.h"

#include "rattanrack/claims/claim_store.h"

#include <map>
#include <unordered_map>

namespace rattanrack::claims {

/// State of a ClaimStore. Functions run on the decision thread unless stated otherwise.
struct ClaimStore::State {
    State(const ClaimStoreSettings&, platform::Table&, const Clock&, SendRequest);
    ~State();
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void submit(const policy::Claim&, Callback);
    void submitHere(const policy::Claim&, Callback);
    void forward(const policy::Claim&, Callback, const NodeId& home);
    void onReply(const peer::ClaimReply&);
    void takeShard(policy::ClaimShardIndex, platform::RowVersion);
    void dropShard(policy::ClaimShardIndex);
    void load(policy::ClaimShardIndex, platform::RowVersion);
    void onLoaded(policy::ClaimShardIndex, platform::RowVersion, const std::optional<platform::Rows>&);
    void execute(const policy::ClaimEffects&);
    void commit(const policy::ClaimBatch&);
    void readBack(const policy::ClaimBatch&);
    void tick();
    void publishCounters();
    std::chrono::microseconds tickDelay() const;
    bool isHeldAt(policy::ClaimShardIndex, platform::RowVersion) const;

    /// Runs on the table thread.
    std::optional<platform::Rows> readRows(const std::function<Result<platform::Rows>()>&) const;

    struct Forwarded {
        policy::Claim claim;
        Callback callback;
        Deadline deadline;
    };
    struct Reload {
        platform::RowVersion version { 0 };
        Deadline at;
    };

    const ClaimStoreSettings settings;
    platform::Table& table;
    const Clock& clock;
    const SendRequest send;

    policy::ClaimHome home;
    std::uint64_t lastTicket { 0 };
    std::unordered_map<policy::ClaimTicket, Callback> pendingCallbacks;
    std::map<std::uint64_t, Forwarded> forwarded; ///< In the order of their deadlines.
    std::map<policy::ClaimShardIndex, NodeId> homes;
    /// Versions of the duty rows of the shards held, loaded or not.
    std::map<policy::ClaimShardIndex, platform::RowVersion> heldShards;
    std::map<policy::ClaimShardIndex, Reload> reloads;
    ClaimStoreCounters currentCounters;

    mutable std::mutex countersMutex;
    ClaimStoreCounters publishedCounters; ///< Guarded by `countersMutex`.

    SerialExecutor tableThread; ///< The threads are declared last, so that they start last and stop first.
    SerialExecutor decisionThread;
};

} // namespace rattanrack::claims
