#pragma once

#include "rattanrack/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanrack::platform {

/// Version of a row. 0: the row does not exist. Every change gives the row a higher version, which is never reused for
/// that key.
using RowVersion = std::uint64_t;

/// A row of the platform's transactional table. Keys are paths such as "vm/b7"; values are opaque to the table.
struct Row {
    std::string key;
    std::string value;
    RowVersion version { 0 };

    friend bool operator==(const Row&, const Row&) = default;
};

/// Holds when `key` has exactly this version at commit time; version 0 requires that the row does not exist.
struct Condition {
    std::string key;
    RowVersion version { 0 };
};

/// A row to store, or to remove when `value` is nullopt.
struct Write {
    std::string key;
    std::optional<std::string> value;
};

/// All writes take effect together, and only if all conditions hold.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

enum class CommitStatus {
    Done, ///< Took effect.
    Conflict, ///< A condition did not hold; nothing was written.
    Refused, ///< The service rejected it (too large, malformed); nothing was written, a retry is useless.
    Unavailable, ///< Did not reach the service, or the service was unavailable; nothing was written.
    Unknown, ///< Sent, but no response arrived: it may have taken effect, or may still do so.
};

/// Outcome of a transaction. The writer resolves Unknown by reading back a row that contains its own attempt id.
struct [[nodiscard]] CommitOutcome {
    CommitStatus status { CommitStatus::Unavailable };
    RowVersion version { 0 }; ///< Version of all rows written, when Done.
    std::string detail;
};

/// Rows of one read, in the order of their keys.
using Rows = std::vector<Row>;

/// Interface of the platform's table service. Implementations are thread-safe. Every call has a timeout of its own.
class Table {
public:
    virtual ~Table() = default;

    virtual CommitOutcome commit(const Transaction&) = 0;

    /// Returns the rows that exist among `keys`. Errors: Unavailable, MalformedMessage.
    virtual Result<Rows> read(const std::vector<std::string>& keys) = 0;

    /// Returns the rows whose key starts with `prefix` and whose version is above `newerThan`, ascending by key, at
    /// most `limit`. Removed rows are not included. Errors: Unavailable, MalformedMessage.
    virtual Result<Rows> scan(const std::string& prefix, RowVersion newerThan, std::size_t limit) = 0;
};

} // namespace rattanrack::platform
