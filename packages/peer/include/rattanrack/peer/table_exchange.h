#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the pure cores of this package ask of the table, and how they are answered. The owner of a core carries the
/// requests out, in any order and on any thread, and hands each answer back once.
namespace rattanrack::peer {

constexpr Duration tableTimeout = std::chrono::seconds { 5 }; ///< An answer that takes longer counts as lost.

/// Chosen by the core; comes back with the answer. Unique within one core.
using ExchangeId = std::uint64_t;

/// Read the rows that exist among `keys`.
struct ReadRows {
    ExchangeId exchange { 0 };
    std::vector<std::string> keys;
};

/// Read the rows under `prefix` with a version above `newerThan`.
struct ScanRows {
    ExchangeId exchange { 0 };
    std::string prefix;
    platform::RowVersion newerThan { 0 };
    std::size_t limit { 0 };
};

/// Commit one transaction.
struct CommitRows {
    ExchangeId exchange { 0 };
    platform::Transaction transaction;
};

using TableRequest = std::variant<ReadRows, ScanRows, CommitRows>;
using TableRequests = std::vector<TableRequest>;

/// Answer to ReadRows or ScanRows; no rows at all when the table could not be read.
struct RowsResponse {
    ExchangeId exchange { 0 };
    std::optional<platform::Rows> rows;
};

/// Answer to CommitRows.
struct CommitResponse {
    ExchangeId exchange { 0 };
    platform::CommitOutcome outcome;
};

using TableResponse = std::variant<RowsResponse, CommitResponse>;

/// The exchange that an answer belongs to.
inline ExchangeId exchangeOf(const TableResponse& answer)
{
    return std::visit([](const auto& any) { return any.exchange; }, answer);
}

} // namespace rattanrack::peer
