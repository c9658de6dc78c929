#include "rattanrack/node/fleet_store.h"

#include "rattanrack/base/log.h"
#include "rattanrack/policy/fleet_rows.h"

#include <algorithm>

namespace rattanrack::node {

namespace {

constexpr std::size_t maxRows = 100'000;

template <typename Record>
using Decoder = Result<Record> (*)(std::string_view, std::string_view, policy::RecordVersion);

template <typename Record>
void decodeInto(std::vector<Record>& records, const platform::Row& row, Decoder<Record> decode)
{
    handle(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(record, decode(row.key, row.value, row.version));
            records.push_back(std::move(record));
            return {};
        },
        [&](const Error& error) {
            logEvent("fleet.row_malformed", { { "key", row.key }, { "error", describe(error) } }, LogLevel::Error);
        });
}

/// Returns the highest version among the rows, or `newerThan` if there are none.
template <typename Record>
Result<platform::RowVersion> readRecords(platform::Table& table, std::string_view prefix,
    platform::RowVersion newerThan, Decoder<Record> decode, std::vector<Record>& records)
{
    platform::RowVersion highest = newerThan;
    BOOST_LEAF_AUTO(rows, table.scan(std::string(prefix), newerThan, maxRows));
    for (const platform::Row& row : rows) {
        highest = std::max(highest, row.version);
        decodeInto(records, row, decode);
    }
    return highest;
}

void add(platform::Transaction& transaction, const std::string& key, policy::RecordVersion version,
    std::optional<std::string> value)
{
    transaction.conditions.push_back({ key, version });
    transaction.writes.push_back({ key, std::move(value) });
}

} // namespace

Result<FleetRows> FleetStore::read(platform::RowVersion newerThan)
{
    FleetRows rows;
    rows.isComplete = newerThan == 0;
    // A row that changes between two scans is newer than all rows of the first scan. Only the version of the first scan
    // is therefore complete in all four, and the next read continues there.
    BOOST_LEAF_ASSIGN(rows.version, readRecords(m_table, policy::vmKeyPrefix, newerThan, &policy::decodeVm, rows.vms));
    BOOST_LEAF_CHECK(readRecords(m_table, policy::poolKeyPrefix, newerThan, &policy::decodePool, rows.pools));
    BOOST_LEAF_CHECK(readRecords(m_table, policy::rollOutKeyPrefix, newerThan, &policy::decodeRollOut, rows.rollOuts));
    std::vector<policy::BorrowingRecord> borrowing;
    BOOST_LEAF_CHECK(readRecords(m_table, policy::borrowingKey, newerThan, &policy::decodeBorrowing, borrowing));
    if (!borrowing.empty())
        rows.borrowing = borrowing.front();
    return rows;
}

platform::CommitOutcome FleetStore::commit(const policy::FleetChange& change)
{
    return m_table.commit(transactionOf(change));
}

platform::Transaction transactionOf(const policy::FleetChange& change)
{
    platform::Transaction transaction;
    for (const policy::VmRecord& vm : change.vms)
        add(transaction, policy::vmKey(vm.id), vm.version, policy::encode(vm));
    for (const policy::VmRecord& vm : change.removedVms)
        add(transaction, policy::vmKey(vm.id), vm.version, std::nullopt);
    for (const policy::PoolRecord& pool : change.pools)
        add(transaction, policy::poolKey(pool.id), pool.version, policy::encode(pool));
    for (const policy::RollOutRecord& rollOut : change.rollOuts)
        add(transaction, policy::rollOutKey(rollOut.id), rollOut.version, policy::encode(rollOut));
    for (const policy::BorrowingRecord& borrowing : change.borrowing)
        add(transaction, std::string(policy::borrowingKey), borrowing.version, policy::encode(borrowing));
    for (const policy::RollOutRecord& rollOut : change.required)
        transaction.conditions.push_back({ policy::rollOutKey(rollOut.id), rollOut.version });
    return transaction;
}

} // namespace rattanrack::node
