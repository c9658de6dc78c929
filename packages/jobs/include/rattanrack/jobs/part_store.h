#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Port to the platform's table service, whose transactions span the rows of one part.
namespace rattanrack::jobs {

using RowVersion = std::uint64_t; ///< 0: the row does not exist. Every change of any row takes a higher one.

struct RowKey {
    std::string table;
    std::string key;

    friend auto operator<=>(const RowKey&, const RowKey&) = default;
};

struct PartRow {
    RowKey row;
    std::string value;
    RowVersion version { 0 };
    bool isRemoved { false }; ///< Only in changes.
    std::string part; ///< Only in changes, which span all parts of a table.

    friend bool operator==(const PartRow&, const PartRow&) = default;
};

struct RowCondition {
    RowKey row;
    RowVersion version { 0 };

    friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

struct RowWrite {
    RowKey row;
    std::optional<std::string> value; ///< Empty: removed.

    friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

/// All of it takes effect, and only if all conditions hold, or none.
struct PartTransaction {
    std::string part;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const PartTransaction&, const PartTransaction&) = default;
};

enum class TransactionStatus : std::uint8_t {
    Done,
    Conflict, ///< A condition did not hold; nothing was written.
    Refused, ///< Malformed, too large or forbidden; nothing was written, asking again is useless.
    Unavailable, ///< Nothing was written; asking again later may help.
    Unknown, ///< May have taken effect, or may do so seconds later.
};

struct [[nodiscard]] TransactionOutcome {
    TransactionStatus status { TransactionStatus::Unavailable };
    RowVersion version { 0 }; ///< Of all rows written, when Done.
    std::vector<PartRow> current; ///< The rows of the conditions, on Conflict.
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

/// Asks for what has changed in a table after `version`.
struct ChangesQuery {
    std::string table;
    RowVersion version { 0 };
    Duration wait {};

    friend bool operator==(const ChangesQuery&, const ChangesQuery&) = default;
};

enum class ReadStatus : std::uint8_t {
    Done,
    HistoryGone, ///< Of changes: read everything anew.
    Unavailable,
};

/// An answer to a question as a value, for those who hand it on.
struct ReadOutcome {
    ReadStatus status { ReadStatus::Unavailable };
    RowPage page; ///< When Done.
    std::string detail;

    friend bool operator==(const ReadOutcome&, const ReadOutcome&) = default;
};

/// Safe from every thread. Every call ends by a timeout of its own.
class PartStore {
public:
    virtual ~PartStore() = default;
    virtual TransactionOutcome commit(const PartTransaction&) = 0;

    /// Rows as of a single moment. Errors: Unavailable, MalformedMessage.
    virtual Result<RowPage> read(const RowRange&) = 0;

    /// Rows of a table that have changed after `version`, as soon as there is one or `wait` is over. Errors: NotFound
    /// (the history is gone: read everything anew), Unavailable, MalformedMessage.
    virtual Result<RowPage> changes(const std::string& table, RowVersion version, Duration wait) = 0;
};

/// All rows of a table in a part, page by page; the version is that of the first page, so that nothing is missed by
/// asking for changes after it. Blocks. Errors: Unavailable, MalformedMessage.
Result<RowPage> readAll(PartStore& store, const std::string& table, const std::string& part);

} // namespace rattanrack::jobs
