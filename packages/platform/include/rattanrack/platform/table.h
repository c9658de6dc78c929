#pragma once

#include "rattanrack/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanrack::platform {

/// Version of a row: 0 means absent; every change of a row gives it a higher version, never used again for that key.
using RowVersion = std::uint64_t;

/// A row of the platform's transactional table. Keys are paths such as "vm/b7"; values are opaque to the table.
struct Row {
    std::string key;
    std::string value;
    RowVersion version { 0 };

    friend bool operator==(const Row&, const Row&) = default;
};

/// Holds when `key` has exactly this version at commit time; version 0 demands that the row is absent.
struct Condition {
    std::string key;
    RowVersion version { 0 };
};

/// A row to store, or to remove when `value` is empty.
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
    Refused, ///< The service rejected it (too large, malformed); nothing was written, asking again is useless.
    Unavailable, ///< Never reached the service, or the service said so; nothing was written.
    Unknown, ///< Sent, and no answer arrived: it may have taken effect, or may still do so.
};

/// Outcome of a transaction. Unknown is settled by reading back a row that carries the writer's own attempt id.
struct [[nodiscard]] CommitOutcome {
    CommitStatus status { CommitStatus::Unavailable };
    RowVersion version { 0 }; ///< Version of all rows written, when Done.
    std::string detail;
};

/// Rows that were read together, in the order of their keys.
using Rows = std::vector<Row>;

/// Port to the platform's table service. Implementations are safe to call from several threads. Every call ends by its
/// own timeout.
class Table {
public:
    virtual ~Table() = default;

    virtual CommitOutcome commit(const Transaction&) = 0;

    /// The rows that exist among `keys`. Errors: Unavailable, MalformedMessage.
    virtual Result<Rows> read(const std::vector<std::string>& keys) = 0;

    /// Rows whose key starts with `prefix` and whose version is above `newerThan`, ascending by key, at most `limit`.
    /// Removed rows are not reported. Errors: Unavailable, MalformedMessage.
    virtual Result<Rows> scan(const std::string& prefix, RowVersion newerThan, std::size_t limit) = 0;
};

} // namespace rattanrack::platform
