#include "rattanrack/jobs/node_table.h"

#include "rattanrack/base/milliseconds.h"

#include <charconv>
#include <optional>

namespace rattanrack::jobs {

namespace {

constexpr std::size_t rowsInTransaction = 40; ///< Each is a condition and a removal; the platform takes 100 entries.
constexpr std::size_t transactionsAtOnce = 5;
constexpr char timeSeparator = ' ';

/// The time in a row's value; empty in rows of earlier releases.
std::optional<std::int64_t> timeOf(const std::string& value)
{
    const auto separator = value.rfind(timeSeparator);
    if (separator == std::string::npos)
        return std::nullopt;
    std::int64_t time = 0;
    const char* end = value.data() + value.size();
    const auto result = std::from_chars(value.data() + separator + 1, end, time);
    return result.ec == std::errc {} && result.ptr == end ? std::optional { time } : std::nullopt;
}

} // namespace

void NodeTable::setRows(const std::vector<PartRow>& rows, TimePoint now, std::int64_t unixMs)
{
    std::map<std::string, Row> next;
    for (const PartRow& row : rows) {
        const auto known = m_rows.find(row.row.key);
        const bool isUnchanged = known != m_rows.end() && known->second.version == row.version;
        const auto writtenUnixMs = timeOf(row.value);
        const bool isTooOld = writtenUnixMs && unixMs - *writtenUnixMs >= milliseconds(nodeRowAgeLimit);
        next[row.row.key] = { row.version, isUnchanged ? known->second.changedAt : now, isTooOld };
    }
    m_removed.clear();
    for (const auto& [address, row] : m_rows) {
        if (!next.contains(address))
            m_removed.push_back(address);
    }
    m_rows = std::move(next);
}

std::vector<std::string> NodeTable::addresses() const
{
    std::vector<std::string> all;
    for (const auto& [address, row] : m_rows)
        all.push_back(address);
    return all;
}

std::vector<PartTransaction> NodeTable::removalsOfGoneNodes(TimePoint now) const
{
    std::vector<PartTransaction> removals;
    for (const auto& [address, row] : m_rows) {
        if (now - row.changedAt < nodeRowTimeout && !row.isTooOld)
            continue;
        if (removals.empty() || removals.back().writes.size() >= rowsInTransaction) {
            if (removals.size() >= transactionsAtOnce)
                break;
            removals.push_back({ nodePart, {}, {} });
        }
        const RowKey key { nodeTable, address };
        removals.back().conditions.push_back({ key, row.version });
        removals.back().writes.push_back({ key, std::nullopt });
    }
    return removals;
}

PartTransaction registrationOf(const NodeId& process, const std::string& address, std::int64_t unixMs)
{
    return { nodePart, {}, { { { nodeTable, address }, process.value() + timeSeparator + std::to_string(unixMs) } } };
}

} // namespace rattanrack::jobs
