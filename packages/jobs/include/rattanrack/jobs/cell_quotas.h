#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/customer_use.h"
#include "rattanrack/jobs/job.h"
#include "rattanrack/jobs/part_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// How the quota of a customer, which holds for all cells together, is divided among cells with owners of their own.
///
/// The store has one row for each customer, which lists what each cell may use. An owner changes the entry of its cell
/// alone, on condition of the row's version, and takes only what the other entries leave of the quota. What runs in a
/// cell never exceeds its entry, so that all cells together keep the quota without an exchange of messages.
namespace rattanrack::jobs {

constexpr const char* quotaTable = "quota";
constexpr const char* quotaPart = "quotas";

/// What one cell may use of a customer's quota.
struct QuotaAllotment {
    PoolId cell;
    Fence term { 0 }; ///< Of the owner that has written the entry. Owners of earlier terms may not change it.
    ResourceSize granted;
    /// The smallest amount that the cell could start if it had more; empty: it is not short. Others return what they
    /// don't need.
    ResourceSize unit;

    bool isShort() const { return unit != ResourceSize {}; }

    friend bool operator==(const QuotaAllotment&, const QuotaAllotment&) = default;
};

/// The row of a customer. An owner whose configuration has another quota than the row writes its own if that is of a
/// later version, and keeps to the row's otherwise: no owner with an earlier configuration grants more after that.
struct QuotaRow {
    std::uint64_t version { 0 }; ///< Of the configuration that `quota` is from.
    ResourceSize quota;
    /// One entry for each cell that has an allotment or is short of one. Among the short ones the one that has been
    /// short for longest comes first.
    std::vector<QuotaAllotment> allotments;

    friend bool operator==(const QuotaRow&, const QuotaRow&) = default;
};

std::string encode(const QuotaRow&);

/// Errors: MalformedMessage.
Result<QuotaRow> decodeQuotaRow(const std::string& bytes);

/// The row of a customer's quota. Names that are too long for the key of a row are hashed.
RowKey quotaRowKey(const CustomerId& customer);

/// What the configuration in force says of all quotas.
struct QuotaCells {
    std::uint64_t version { 0 }; ///< Of the configuration.
    std::size_t count { 1 }; ///< Cells among which quotas are divided.
    bool isOwnConfigured { true }; ///< False: the configuration has no route to the own cell any more.
};

/// The allotments of one cell, decided by its owner. The cell takes its fair part of each quota beforehand, so that
/// usual work waits for no transaction, more when it needs more, and returns what it does not need when another cell is
/// short. Pure: no I/O, no clock. Not thread-safe.
///
///     if (quotas.isReadDue(now)) { quotas.onReadSent(now); ... quotas.onRead(page, now); }
///     if (auto transaction = quotas.nextTransaction(uses, uncontacted, now)) { ... quotas.onOutcome(outcome, now); }
///     limit = quotas.limitOf(use, uncontacted);
class CellQuotas {
public:
    /// `term`: of the owner.
    CellQuotas(PoolId cell, Fence term);

    void configure(const QuotaCells& cells);

    /// Whether the rows of all customers should be read now. The first read precedes the first transaction.
    bool isReadDue(TimePoint now) const;
    void onReadSent(TimePoint now);

    /// All rows of the table, as of one moment. Rows that can't be decoded count as unknown: nothing starts by them.
    void onRead(const RowPage& page, TimePoint now);
    void onReadFailed(TimePoint now);

    /// Returns the transaction to send next, if there is one: a new one, or the one whose outcome is not known.
    /// `uses`: all customers with a quota. `uncontacted`: what workers of previous owners could run that have not been
    /// contacted yet.
    std::optional<PartTransaction> nextTransaction(
        const std::vector<CustomerUse>& uses, const ResourceSize& uncontacted, TimePoint now);
    void onOutcome(const TransactionOutcome& outcome, TimePoint now);

    /// What the customer's runs that are known may use in the cell, as of the latest call of `nextTransaction`.
    CustomerLimit limitOf(const CustomerUse& configured, const ResourceSize& uncontacted) const;

    /// What the cell may use of the customer's quota by the store; empty if nothing.
    ResourceSize granted(const CustomerId& customer) const;

    /// Whether an owner of a later term has written an entry of the cell.
    bool isReplaced() const { return m_isReplaced; }

    /// Whether the store has entries of the cell, or a transaction may still write one.
    bool hasEntries() const;

private:
    struct Row {
        RowVersion version { 0 }; ///< 0: the row does not exist.
        RowVersion latestSeen { 0 }; ///< Of the row or of its removal: what is older arrived late.
        QuotaRow stored;
        bool isMalformed { false };
        /// What the owner before may have used when this owner wrote its first entry: the most that runs on workers
        /// that have not been contacted can use. Empty: there was no entry, so that it is not known.
        std::optional<ResourceSize> inherited;
        std::optional<QuotaAllotment> next; ///< The own entry that the transaction in flight writes.
        /// Below what is granted: nothing starts above it, so that the rest can be returned.
        std::optional<ResourceSize> target;
        TimePoint excessSince {}; ///< Since when more is granted than the cell would take; 0: it is not.
        TimePoint shortReportedAt {}; ///< When `unit` was last changed.
        TimePoint grownAt {}; ///< When the own entry last grew.
        TimePoint freeSince {}; ///< Since when the entries leave something of the quota; 0: they don't.
    };

    QuotaAllotment ownEntry(const Row& row) const;
    bool isOwnTerm(const Row& row) const;
    ResourceSize grantedOfOthers(const Row& row) const;
    bool isAnotherShort(const Row& row) const;
    ResourceSize mostWhileContested(
        const Row& row, const CustomerUse& use, const ResourceSize& free, TimePoint now) const;
    ResourceSize unknownUse(const Row& row, const ResourceSize& uncontacted) const;
    bool isContested(const Row& row, const ResourceSize& quota) const;
    std::size_t activeCells(const Row& row) const;
    void adoptIfNewer(Row& row, RowVersion version, const std::string& value);
    static void clearIfNewer(Row& row, RowVersion removedBy);
    void adoptOutcome(const TransactionOutcome& outcome, TimePoint now);
    void adoptConflict(const TransactionOutcome& outcome);
    bool isRowLater(const Row& row) const;
    bool hasQuotaInForce(const Row& row, const CustomerUse& use) const;
    CustomerUse withLatestQuota(const Row& row, CustomerUse use) const;
    QuotaAllotment desired(Row& row, const CustomerUse& use, const ResourceSize& unknown, TimePoint now) const;
    bool isChangeDue(const Row& row, const QuotaAllotment& next, const CustomerUse& use, TimePoint now) const;
    void addChange(const RowKey& key, Row& row, const QuotaAllotment& next, const ResourceSize& quota);
    bool isAnyContested() const;

    PoolId m_cell;
    Fence m_term;
    QuotaCells m_cells;
    bool m_isConfigured { false };
    bool m_hasRead { false };
    bool m_isReadInFlight { false };
    bool m_isReplaced { false };
    TimePoint m_nextReadAt {};
    TimePoint m_nextTransactionAt {};
    std::map<std::string, Row> m_rows; ///< By the key of the row.
    PartTransaction m_transaction;
    bool m_isInFlight { false }; ///< `m_transaction` has no outcome yet, or one that is not known.
    bool m_isSending { false };
    bool m_mayTakeEffect { false };
};

} // namespace rattanrack::jobs
