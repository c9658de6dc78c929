#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/part_store.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanrack::jobs {

/// The row that records the owner of a cell. Every transaction of the owner changes the row, on condition that it still
/// has the version that the owner wrote last. An owner that has lost the cell can therefore write nothing, and the row
/// shows whether a transaction without a response took effect.
struct OwnerRow {
    NodeId holder; ///< Empty: the part was handed back.
    Fence term { 0 }; ///< Increases with each change of the holder.
    std::uint64_t sequence { 0 }; ///< Number of transactions in this term.
    WorkerMachines workers; ///< Workers on which something may run.
    OutstandingLeases outstandingLeases; ///< Leases at the time of the hand-back; empty while the part has an owner.
    /// For how long after the transaction owners of earlier terms may still have granted leases; empty: not known. In
    /// the machine part: for how long commands to machines may still arrive, this owner's included.
    std::optional<Duration> earlierGrantsLeft {};
    /// Machines that this owner may announce as drained, and those that earlier owners may have announced so.
    std::set<MachineId> drainedMachines {};

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
    NotApplied, ///< Known not to have taken effect: send the same transaction again, or abandon it.
    Rejected, ///< The store will never take this transaction, which must be abandoned.
    Unresolved, ///< May still take effect: only the same transaction may be sent again.
};

/// Writes to one part as its owner, one transaction at a time. Pure.
///
///     auto transaction = part.beginTransaction(rows, workers); // send it, repeatedly if necessary
///     switch (part.resolve(outcome)) { ... }
class OwnedPart {
public:
    /// Takes the part over from the owner in `found`; empty when the part never had an owner.
    OwnedPart(const PoolId& cell, NodeId self, const std::optional<OwnerRow>& found, RowVersion foundVersion);

    /// Builds a transaction that writes `rows` and the list of workers. With `leasesAtHandBack` the same transaction
    /// hands the part back, and no lease may be granted from then on. `earlierGrantsLeft`: as in `OwnerRow`.
    const PartTransaction& beginTransaction(std::vector<RowWrite> rows, WorkerMachines workers,
        std::optional<OutstandingLeases> leasesAtHandBack = {}, std::optional<Duration> earlierGrantsLeft = {});

    /// Sets the drained machines that the next transactions write. Until then they are those of the owner before.
    void setDrainedMachines(std::set<MachineId> machines) { m_row.drainedMachines = std::move(machines); }
    const std::set<MachineId>& drainedMachinesWritten() const { return m_row.drainedMachines; }

    bool isInFlight() const { return m_isInFlight; }
    const PartTransaction& transaction() const { return m_transaction; }
    const WorkerMachines& workersWritten() const { return m_row.workers; }

    OwnerWriteOutcome resolve(const TransactionOutcome& outcome);

    /// After `NotApplied` or `Rejected`: drops the transaction and its rows.
    void abandon();

    Fence term() const { return m_row.term; }

private:
    std::string m_part;
    NodeId m_self;
    OwnerRow m_row;
    RowVersion m_version { 0 };
    PartTransaction m_transaction;
    bool m_isInFlight { false };
    bool m_mayTakeEffect { false };
};

} // namespace rattanrack::jobs
