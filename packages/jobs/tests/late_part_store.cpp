#include "late_part_store.h"

#include <algorithm>

namespace rattanrack::jobs::tests {

namespace {

constexpr double unavailableShare = 0.05;
constexpr double lostResponseShare = 0.08;
constexpr double delayedShare = 0.08;
constexpr double delayEndShare = 0.1; ///< Of the delayed transactions, at each call.

} // namespace

bool LatePartStore::holds(const PartTransaction& transaction)
{
    const Rows& rows = m_parts[transaction.part];
    return std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [&](const RowCondition& each) {
        const auto row = rows.find(each.row);
        return (row == rows.end() ? 0 : row->second.version) == each.version;
    });
}

void LatePartStore::apply(const PartTransaction& transaction)
{
    ++m_version;
    Rows& rows = m_parts[transaction.part];
    for (const RowWrite& write : transaction.writes) {
        if (write.value)
            rows[write.row] = { write.row, *write.value, m_version };
        else
            rows.erase(write.row);
        if (onWrite)
            onWrite(transaction.part, write);
    }
}

void LatePartStore::applyDelayed()
{
    std::vector<PartTransaction> waiting;
    for (PartTransaction& transaction : std::exchange(m_delayed, {})) {
        if (!isCalm && !isLikely(delayEndShare))
            waiting.push_back(std::move(transaction));
        else if (holds(transaction))
            apply(transaction);
    }
    m_delayed = std::move(waiting);
}

TransactionOutcome LatePartStore::commit(const PartTransaction& transaction)
{
    if (beforeCall)
        beforeCall();
    applyDelayed();
    if (isLikely(unavailableShare))
        return { TransactionStatus::Unavailable, 0, {}, "unavailable" };
    if (isLikely(delayedShare)) {
        m_delayed.push_back(transaction);
        return { TransactionStatus::Unknown, 0, {}, "delayed" };
    }
    const bool isResponseLost = isLikely(lostResponseShare);
    const bool isApplied = holds(transaction);
    if (isApplied)
        apply(transaction);
    if (isResponseLost)
        return { TransactionStatus::Unknown, 0, {}, "response lost" };
    if (isApplied)
        return { TransactionStatus::Done, m_version, {}, {} };
    TransactionOutcome conflict { TransactionStatus::Conflict, 0, {}, "conflict" };
    for (const RowCondition& condition : transaction.conditions) {
        const auto row = m_parts[transaction.part].find(condition.row);
        if (row != m_parts[transaction.part].end())
            conflict.current.push_back(row->second);
    }
    return conflict;
}

Result<RowPage> LatePartStore::read(const RowRange& range)
{
    if (beforeCall)
        beforeCall();
    applyDelayed();
    if (isLikely(unavailableShare))
        return fail(ErrorCode::Unavailable, "store.read", "test");
    RowPage page;
    page.version = m_version;
    for (const auto& [key, row] : m_parts[range.part]) {
        if (key.table == range.table && key.key >= range.from)
            page.rows.push_back(row);
    }
    return page;
}

} // namespace rattanrack::jobs::tests
