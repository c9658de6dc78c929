#pragma once

#include "rattanrack/jobs/part_store.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <mutex>
#include <optional>

namespace rattanrack::node {

/// The store by the direct way, or through a peer while it turns only this node away. Safe from every thread.
///
/// A call goes the direct way first. After a failure it goes through a peer first, and the direct way is tried again
/// twice a second. A transaction whose outcome by one way is not known stays so until another way proves it.
class RelayedStore final : public jobs::PartStore {
public:
    /// Asks a peer that reaches the store, and waits. Empty: there is none.
    using PeerCall = std::function<std::optional<peer::StoreResult>(const peer::StoreRequest&)>;

    RelayedStore(jobs::PartStore& direct, const Clock& clock)
        : m_direct(direct)
        , m_clock(clock)
    {
    }

    /// Calls go the direct way alone until there is somebody to ask. An empty `ask` ends it.
    void setPeerCall(PeerCall ask);

    jobs::TransactionOutcome commit(const jobs::PartTransaction& transaction) override;
    Result<jobs::RowPage> read(const jobs::RowRange& range) override;
    Result<jobs::RowPage> changes(const std::string& table, jobs::RowVersion version, Duration wait) override;

    /// Whether the latest call by the direct way was answered.
    bool isReachable() const;

    /// Carries a peer's call out, by the direct way alone.
    peer::StoreResult executeDirectly(const peer::StoreRequest& request);

private:
    peer::StoreResult call(const peer::StoreRequest& request);
    jobs::ReadOutcome ask(const peer::StoreRequest& request);
    bool shouldTryDirectly();
    std::optional<peer::StoreResult> callPeer(const peer::StoreRequest& request) const;

    jobs::PartStore& m_direct;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    PeerCall m_peerCall;
    bool m_isReachable { true };
    Deadline m_nextDirectTry;
};

} // namespace rattanrack::node
