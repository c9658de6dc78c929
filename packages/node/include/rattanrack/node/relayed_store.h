#pragma once

#include "rattanrack/jobs/part_store.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <mutex>
#include <optional>

namespace rattanrack::node {

/// Accesses the store directly, or through a peer while the store rejects only this node. Thread-safe.
///
/// A call is sent directly first. After a failure, calls are sent through a peer first, and the direct path is tried
/// again twice a second. A transaction whose outcome is unknown over one path stays unknown until another path proves
/// the outcome. A read that a peer does not answer is sent again, directly if the store has responded to any call
/// meanwhile, through another peer otherwise.
class RelayedStore final : public jobs::PartStore {
public:
    /// Sends a request to a peer that reaches the store, and waits for the result. Returns nothing if there is no such
    /// peer, and an empty result if the peer does not answer.
    using PeerCall = std::function<std::optional<peer::StoreResult>(const peer::StoreRequest&)>;

    RelayedStore(jobs::PartStore& direct, const Clock& clock)
        : m_direct(direct)
        , m_clock(clock)
    {
    }

    /// Sets the function that calls a peer. Without one, as initially or after an empty one is set, all calls are sent
    /// directly.
    void setPeerCall(PeerCall peerCall);

    jobs::TransactionOutcome commit(const jobs::PartTransaction& transaction) override;
    Result<jobs::RowPage> read(const jobs::RowRange& range) override;
    Result<jobs::RowPage> changes(const std::string& table, jobs::RowVersion version, Duration wait) override;

    /// Sets a function that is called, on any thread, when the store responds to a direct call again. It should end the
    /// reads that wait for a peer.
    void setOnReachable(std::function<void()> onReachable);

    /// Whether the store responded to the latest direct call.
    bool isReachable() const;

    /// Executes a peer's request, directly only.
    peer::StoreResult executeDirectly(const peer::StoreRequest& request);

private:
    peer::StoreResult call(const peer::StoreRequest& request);
    std::optional<peer::StoreResult> callPeers(const peer::StoreRequest& request);
    jobs::ReadOutcome executeRead(const peer::StoreRequest& request);
    bool shouldTryDirectly();
    std::optional<peer::StoreResult> callPeer(const peer::StoreRequest& request) const;

    jobs::PartStore& m_direct;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    PeerCall m_peerCall;
    std::function<void()> m_onReachable;
    bool m_isReachable { true };
    Deadline m_nextDirectTry;
};

} // namespace rattanrack::node
