#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/part_store.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The table of the store in which nodes register, so that they find each other.
namespace rattanrack::jobs {

constexpr const char* nodeTable = "node";
constexpr const char* nodePart = "nodes";

/// A node writes its row again this often.
constexpr Duration nodeRegistrationPeriod = std::chrono::seconds { 30 };
/// A row that has not changed for this long is of a node that is gone: no node is frozen or cut off for so long without
/// being replaced. One that is all the same registers again as soon as it reads the table.
constexpr Duration nodeRowTimeout = std::chrono::seconds { 120 };

/// The same by the wall clocks of the row's writer and of the reader, for a table whose readers are replaced before
/// they have watched a row for long. No two wall clocks differ by nearly as much.
constexpr Duration nodeRowAgeLimit = std::chrono::minutes { 10 };

/// One node's view of the table: when each row last changed, by this node's clock. Pure. Not thread-safe.
///
///     table.setRows(page.rows, now, unixMs);
///     for (const PartTransaction& removal : table.removalsOfGoneNodes(now)) ...
class NodeTable {
public:
    /// Sets all rows of the table, read to the last page at `now`, which is `unixMs` by the wall clock.
    void setRows(const std::vector<PartRow>& rows, TimePoint now, std::int64_t unixMs);

    /// Addresses of all rows, in ascending order.
    std::vector<std::string> addresses() const;

    bool contains(const std::string& address) const { return m_rows.contains(address); }

    /// Addresses that the rows before the latest `setRows` had and the present ones don't have.
    const std::vector<std::string>& removedAddresses() const { return m_removed; }

    /// Transactions that remove the rows of nodes that are gone, each on condition that its rows are as they were read.
    /// At most a few hundred rows a call; the rest follows.
    std::vector<PartTransaction> removalsOfGoneNodes(TimePoint now) const;

private:
    struct Row {
        RowVersion version { 0 };
        TimePoint changedAt {}; ///< At the latest.
        bool isTooOld { false }; ///< By the wall clocks.
    };

    std::map<std::string, Row> m_rows;
    std::vector<std::string> m_removed;
};

/// The transaction by which a node registers at its address, or shows that it still runs. The row's value has the
/// process and the time, by the node's wall clock.
PartTransaction registrationOf(const NodeId& process, const std::string& address, std::int64_t unixMs);

} // namespace rattanrack::jobs
