#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/part_store.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// The row that says who owns a cell. It changes with every transaction of the owner, each of which expects the
/// version that it had: whoever has lost the cell writes nothing any more, and a lost answer is settled by the row.
struct OwnerRow {
    NodeId holder; ///< Empty: handed back.
    Fence term { 0 }; ///< Grows with each change of holder.
    std::uint64_t sequence { 0 }; ///< Transactions of this term.
    WorkerMachines workers; ///< Where something may run.
    OutstandingLeases outstandingLeases; ///< As the part was handed back; empty while it is not.

    friend bool operator==(const OwnerRow&, const OwnerRow&) = default;
};

std::string encode(const OwnerRow&);

/// Errors: MalformedMessage.
Result<OwnerRow> decodeOwnerRow(const std::string& bytes);

constexpr const char* ownerTable = "owner";
constexpr const char* ownerKey = "owner";
constexpr const char* jobTable = "job";
constexpr const char* progressTable = "progress";

enum class OwnerWriteOutcome : std::uint8_t {
    Done,
    Lost, ///< Another node owns the part.
    NotApplied, ///< Proved not to have taken effect; send the same, or give up what is new in it.
    Unresolved, ///< May yet take effect: only the same transaction may be sent again.
};

/// Writes to one part as its owner. Pure. One transaction at a time.
///
///     auto transaction = part.take(holder, workers, writes);   // send it, as often as need be
///     switch (part.settle(outcome)) { ... }
class OwnedPart {
public:
    /// To take the part over from what `found` says; empty when nobody has ever owned it.
    OwnedPart(const PoolId& cell, NodeId self, const std::optional<OwnerRow>& found, RowVersion foundVersion);

    /// Writes `rows` and the list of workers. With `handsBack` the part is given up by the same transaction, and
    /// nothing may be granted from then on.
    const PartTransaction& beginTransaction(
        std::vector<RowWrite> rows, WorkerMachines workers, std::optional<OutstandingLeases> handsBack = {});

    bool isInFlight() const { return m_isOnItsWay; }
    const PartTransaction& transaction() const { return m_transaction; }
    const WorkerMachines& workersWritten() const { return m_row.workers; }

    OwnerWriteOutcome resolve(const TransactionOutcome& outcome);

    /// After `Again`: what was to be written is given up.
    void abandon();

    Fence term() const { return m_row.term; }

private:
    std::string m_part;
    NodeId m_self;
    OwnerRow m_row;
    RowVersion m_version { 0 };
    PartTransaction m_transaction;
    bool m_isOnItsWay { false };
    bool m_mayTakeEffect { false };
};

} // namespace rattanrack::jobs
