#pragma once

#include "rattanrack/jobs/owned_part.h"
#include "rattanrack/jobs/part_store.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrack::node {

/// A part that this node has become the owner of.
struct PartTakeover {
    jobs::OwnedPart part;
    jobs::WorkerMachines workers; ///< Of earlier owners.
    jobs::OutstandingLeases outstandingLeases; ///< As the latest of them handed the part back; empty when it did not.
    TimePoint confirmedAt {}; ///< Before the transaction that took it. Other nodes may have taken it since.
};

/// Becomes the owner of a part. Blocks; for a thread of the store. Errors: Conflict (another node was faster),
/// Unavailable, OutcomeUnknown, MalformedMessage.
Result<PartTakeover> takeOverPart(jobs::PartStore& store, const Clock& clock, const PoolId& name, const NodeId& self);

/// Writes to an owned part, one transaction after the other, and repeats those whose outcome is not known. Belongs to
/// the control thread.
class PartWriter {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ElasticThreadPool& threads;
        jobs::PartStore& store;
    };
    struct Callbacks {
        std::function<void()> onStored;
        std::function<void()> onNotStored; ///< Proved; what was in the transaction is to be written again.
        std::function<void()> onLost; ///< The part is in other hands, or given up.
    };

    PartWriter(Parts parts, PartTakeover taken, Callbacks events);
    ~PartWriter();
    PartWriter(const PartWriter&) = delete;
    PartWriter& operator=(const PartWriter&) = delete;

    /// Whether `write` may be called now.
    bool isFree() const;
    void write(std::vector<jobs::RowWrite> rows, jobs::WorkerMachines workers,
        std::optional<jobs::OutstandingLeases> handsBack = {});

    /// The transaction that hands the part back may have been done: nothing may be granted any more.
    bool mayBeHandedBack() const { return m_handsBack && m_part.isInFlight(); }

    /// Call several times a second.
    void poll();

    jobs::Fence term() const { return m_part.term(); }
    const jobs::WorkerMachines& workersWritten() const { return m_part.workersWritten(); }
    TimePoint sentAt() const { return m_sentAt; } ///< When the latest transaction was sent.
    TimePoint confirmedAt() const { return m_confirmedAt; } ///< When the latest one that succeeded was sent.
    bool isStoreReachable() const { return m_isStoreReachable; }
    bool isOver() const { return m_isOver; }

private:
    void send();
    void onOutcome(const jobs::TransactionOutcome& outcome, TimePoint sentAt);
    void setStoreReachable(bool isInReach, const std::string& detail);

    Parts m_parts;
    jobs::OwnedPart m_part;
    Callbacks m_events;
    std::shared_ptr<bool> m_isAlive;
    TimePoint m_sentAt {};
    TimePoint m_confirmedAt;
    TimePoint m_pauseUntil {};
    bool m_isSending { false };
    bool m_handsBack { false };
    bool m_isOver { false };
    bool m_isStoreReachable { true };
};

} // namespace rattanrack::node
