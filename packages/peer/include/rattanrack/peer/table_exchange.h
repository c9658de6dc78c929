#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Requests to the table and their responses. The state machines of this package (Membership, Duties and
/// ConfigDistribution) do no I/O. Their owner executes the requests in any order and on any thread, and passes each
/// response back once.
namespace rattanrack::peer {

constexpr Duration tableTimeout = std::chrono::seconds { 5 }; ///< A response that takes longer counts as lost.

/// Id of a request, chosen by the state machine and repeated in the response. Unique within one state machine.
using ExchangeId = std::uint64_t;

/// Reads the rows that exist among `keys`.
struct ReadRows {
    ExchangeId exchange { 0 };
    std::vector<std::string> keys;
};

/// Reads at most `limit` rows whose keys have `prefix` and whose versions are above `newerThan`.
struct ScanRows {
    ExchangeId exchange { 0 };
    std::string prefix;
    platform::RowVersion newerThan { 0 };
    std::size_t limit { 0 };
};

/// Commits one transaction.
struct CommitRows {
    ExchangeId exchange { 0 };
    platform::Transaction transaction;
};

using TableRequest = std::variant<ReadRows, ScanRows, CommitRows>;
using TableRequests = std::vector<TableRequest>;

/// Response to ReadRows or ScanRows; `rows` is nullopt when the table could not be read.
struct RowsResponse {
    ExchangeId exchange { 0 };
    std::optional<platform::Rows> rows;
};

/// Response to CommitRows.
struct CommitResponse {
    ExchangeId exchange { 0 };
    platform::CommitOutcome outcome;
};

using TableResponse = std::variant<RowsResponse, CommitResponse>;

/// Id of the request that a response belongs to.
inline ExchangeId exchangeOf(const TableResponse& response)
{
    return std::visit([](const auto& any) { return any.exchange; }, response);
}

} // namespace rattanrack::peer
