#pragma once

#include "serial_executor.h"

#include "rattanrack/claims/claim_store.h"

#include <map>
#include <unordered_map>

namespace rattanrack::claims {

/// All of a ClaimStore. Unless said otherwise, functions run on the deciding thread.
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
    void carryOut(const policy::ClaimEffects&);
    void commit(const policy::ClaimBatch&);
    void readBack(const policy::ClaimBatch&);
    void tick();
    void publishCounters();
    std::chrono::microseconds pause() const;
    bool isFor(policy::ClaimShardIndex, platform::RowVersion) const;

    /// On the table's thread.
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
    std::unordered_map<policy::ClaimTicket, Callback> waiting;
    std::map<std::uint64_t, Forwarded> forwarded; ///< In the order of their deadlines.
    std::map<policy::ClaimShardIndex, NodeId> homes;
    std::map<policy::ClaimShardIndex, platform::RowVersion> wanted; ///< Duties held, loaded or not.
    std::map<policy::ClaimShardIndex, Reload> reloads;
    ClaimStoreCounters counted;

    mutable std::mutex countersMutex;
    ClaimStoreCounters published; ///< Guarded by `countersMutex`.

    JobThread tableThread; ///< The threads start last and end first.
    JobThread deciding;
};

} // namespace rattanrack::claims
