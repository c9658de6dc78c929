#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Port to the platform's table service, whose transactions span the rows of one part.
namespace rattanrack::jobs {

using RowVersion = std::uint64_t; ///< 0: the row does not exist. Every change of any row gets a higher version.

struct RowKey {
    std::string table;
    std::string key;

    friend auto operator<=>(const RowKey&, const RowKey&) = default;
};

struct PartRow {
    RowKey row;
    std::string value;
    RowVersion version { 0 };
    bool isRemoved { false }; ///< Set only in changes.
    std::string part; ///< Set only in changes, which span all parts of a table.

    friend bool operator==(const PartRow&, const PartRow&) = default;
};

struct RowCondition {
    RowKey row;
    RowVersion version { 0 };

    friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

struct RowWrite {
    RowKey row;
    std::optional<std::string> value; ///< Empty: the row is removed.

    friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

/// Takes effect as a whole if all conditions hold, or not at all.
struct PartTransaction {
    std::string part;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const PartTransaction&, const PartTransaction&) = default;
};

enum class TransactionStatus : std::uint8_t {
    Done,
    Conflict, ///< A condition did not hold; nothing was written.
    Refused, ///< Malformed, too large or forbidden: nothing was written, and a retry is useless.
    Unavailable, ///< Nothing was written; a later retry may succeed.
    Unknown, ///< May have taken effect, or may do so seconds later.
};

struct [[nodiscard]] TransactionOutcome {
    TransactionStatus status { TransactionStatus::Unavailable };
    RowVersion version { 0 }; ///< Of all rows written, when Done.
    std::vector<PartRow> current; ///< Current rows of the conditions, on Conflict.
    std::string detail;

    friend bool operator==(const TransactionOutcome&, const TransactionOutcome&) = default;
};

struct RowRange {
    std::string table;
    std::string part;
    std::string from; ///< First key; empty: from the start.

    friend bool operator==(const RowRange&, const RowRange&) = default;
};

struct RowPage {
    std::vector<PartRow> rows; ///< Ascending by key.
    bool hasMore { false };
    RowVersion version { 0 }; ///< Newest version of the whole store.

    friend bool operator==(const RowPage&, const RowPage&) = default;
};

/// Requests what has changed in a table after `version`.
struct ChangesQuery {
    std::string table;
    RowVersion version { 0 };
    Duration wait {};

    friend bool operator==(const ChangesQuery&, const ChangesQuery&) = default;
};

enum class ReadStatus : std::uint8_t {
    Done,
    HistoryGone, ///< The history of changes is gone: read all rows again.
    Unavailable,
};

/// Result of a read as a value that can be sent to another node.
struct ReadOutcome {
    ReadStatus status { ReadStatus::Unavailable };
    RowPage page; ///< When Done.
    std::string detail;

    friend bool operator==(const ReadOutcome&, const ReadOutcome&) = default;
};

/// Thread-safe. Every call has its own timeout.
class PartStore {
public:
    virtual ~PartStore() = default;
    virtual TransactionOutcome commit(const PartTransaction&) = 0;

    /// Reads rows as of a single moment. Errors: Unavailable, MalformedMessage.
    virtual Result<RowPage> read(const RowRange&) = 0;

    /// Returns the rows of a table that have changed after `version`, as soon as there is one or `wait` is over.
    /// Errors: NotFound (the history is gone: read all rows again), Unavailable, MalformedMessage.
    virtual Result<RowPage> changes(const std::string& table, RowVersion version, Duration wait) = 0;
};

/// Reads all rows of a table in a part, page by page. The returned version is that of the first page, so that no change
/// is missed when changes after this version are requested. Blocks. Errors: Unavailable, MalformedMessage.
Result<RowPage> readAll(PartStore& store, const std::string& table, const std::string& part);

} // namespace rattanrack::jobs
