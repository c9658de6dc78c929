#pragma once

#include "rattanrack/jobs/owned_part.h"
#include "rattanrack/jobs/part_store.h"
#include "rattanrack/jobs/takeover_watch.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanrack::node {

/// A part that this node has taken over.
struct PartTakeover {
    jobs::OwnedPart part;
    NodeId previousHolder; ///< Empty: the part was handed back, or had no owner yet.
    jobs::WorkerMachines workers; ///< Workers that earlier owners used.
    /// Leases that the latest earlier owner had granted when it handed the part back; empty if it did not hand it back.
    jobs::OutstandingLeases outstandingLeases;
    /// As the previous owner wrote it; empty if it did not.
    std::optional<Duration> earlierGrantsLeft;
    /// A time before the takeover transaction was sent. Another node may have taken the part over since.
    TimePoint confirmedAt {};
};

/// Reads who owns a part. Blocks; must be called on a store thread. Errors: Unavailable, MalformedMessage.
Result<jobs::OwnerSighting> readOwner(jobs::PartStore& store, const PoolId& name);

/// Takes a part over under `condition`. Blocks; must be called on a store thread. Errors: Conflict (another node was
/// faster, or the owner has written since), Unavailable, OutcomeUnknown, MalformedMessage.
Result<PartTakeover> takeOverPart(jobs::PartStore& store, const Clock& clock, const PoolId& name, const NodeId& self,
    const jobs::TakeoverCondition& condition = {});

/// Writes to an owned part, one transaction at a time, and repeats a transaction whose outcome is unknown. Control
/// thread only.
class PartWriter {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ElasticThreadPool& threads;
        jobs::PartStore& store;
    };
    /// All must be set. Named at initialization, since several have the same type.
    struct Callbacks {
        std::function<void()> onStored;
        /// The transaction is proved not to have taken effect; its rows must be written again.
        std::function<void()> onNotStored;
        /// The store will never take the transaction. Its rows must not be written again together and unchanged.
        std::function<void()> onRejected;
        std::function<void()> onStoreLost; ///< The store no longer responds. A transaction may be in flight.
        std::function<void()> onLost; ///< Another node owns the part, or it was handed back.
    };

    PartWriter(Parts parts, PartTakeover takeover, Callbacks callbacks);
    ~PartWriter();
    PartWriter(const PartWriter&) = delete;
    PartWriter& operator=(const PartWriter&) = delete;

    /// Whether `write` may be called now.
    bool isFree() const;
    void write(std::vector<jobs::RowWrite> rows, jobs::WorkerMachines workers,
        std::optional<jobs::OutstandingLeases> handsBack = {}, std::optional<Duration> earlierGrantsLeft = {});

    /// Sets the machines that the next transactions store as drained. Call only while `isFree`.
    void setDrainedMachines(std::set<jobs::MachineId> machines) { m_part.setDrainedMachines(std::move(machines)); }
    const std::set<jobs::MachineId>& drainedMachinesWritten() const { return m_part.drainedMachinesWritten(); }

    /// Whether a transaction that hands the part back is in flight. The transaction may have taken effect, so no lease
    /// may be granted any more.
    bool mayBeHandedBack() const { return m_isHandBack && m_part.isInFlight(); }

    /// Repeats a transaction whose outcome is unknown. Must be called several times a second.
    void poll();

    jobs::Fence term() const { return m_part.term(); }
    const jobs::WorkerMachines& workersWritten() const { return m_part.workersWritten(); }
    TimePoint sentAt() const { return m_sentAt; } ///< When the latest transaction was sent.
    TimePoint confirmedAt() const { return m_confirmedAt; } ///< When the latest one that succeeded was sent.
    /// False once a transaction has remained without a response for a while, or was refused.
    bool isStoreReachable() const { return m_isStoreReachable; }
    bool isOver() const { return m_isOver; }

private:
    void send();
    void onOutcome(const jobs::TransactionOutcome& outcome, TimePoint sentAt);
    void setStoreReachable(bool isReachable, const std::string& detail);

    Parts m_parts;
    jobs::OwnedPart m_part;
    Callbacks m_callbacks;
    std::shared_ptr<bool> m_isAlive;
    TimePoint m_firstSentAt {}; ///< When the latest transaction was sent for the first time.
    TimePoint m_sentAt {};
    TimePoint m_confirmedAt;
    TimePoint m_pauseUntil {};
    bool m_isSending { false };
    bool m_isHandBack { false };
    bool m_isOver { false };
    bool m_isStoreReachable { true };
};

} // namespace rattanrack::node
