#pragma once

#include "rattanrack/jobs/owned_part.h"
#include "rattanrack/jobs/part_store.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <map>
#include <mutex>

namespace rattanrack::node::tests {

/// An in-memory part store; tests can switch on an outage.
class MemoryPartStore final : public jobs::PartStore {
public:
    jobs::TransactionOutcome commit(const jobs::PartTransaction& transaction) override
    {
        if (isDown)
            return { jobs::TransactionStatus::Unavailable, 0, {}, "down" };
        if (isRejected(transaction)) {
            ++rejections;
            return { jobs::TransactionStatus::Refused, 0, {}, "too large" };
        }
        const std::lock_guard lock(m_mutex);
        auto& rows = m_parts[transaction.part];
        for (const jobs::RowCondition& condition : transaction.conditions) {
            const auto found = rows.find(condition.row);
            const jobs::RowVersion version = found == rows.end() ? 0 : found->second.version;
            if (version != condition.version && isResponseLost(transaction))
                return { jobs::TransactionStatus::Unknown, 0, {}, "response lost" };
            if (version != condition.version)
                return { jobs::TransactionStatus::Conflict, 0, current(rows, transaction), "conflict" };
        }
        ++m_version;
        for (const jobs::RowWrite& write : transaction.writes) {
            if (write.value)
                rows[write.row] = { write.row, *write.value, m_version };
            else
                rows.erase(write.row);
        }
        if (isResponseLost(transaction))
            return { jobs::TransactionStatus::Unknown, 0, {}, "response lost" };
        return { jobs::TransactionStatus::Done, m_version, {}, {} };
    }

    Result<jobs::RowPage> read(const jobs::RowRange& range) override
    {
        if (isDown)
            return fail(ErrorCode::Unavailable, "store.read", "memory");
        const std::lock_guard lock(m_mutex);
        jobs::RowPage page;
        page.version = m_version;
        for (const auto& [key, row] : m_parts[range.part]) {
            if (key.table == range.table && key.key >= range.from)
                page.rows.push_back(row);
        }
        return page;
    }

    Result<jobs::RowPage> changes(const std::string&, jobs::RowVersion, Duration) override
    {
        return fail(ErrorCode::Unavailable, "store.changes", "memory");
    }

    std::atomic<bool> isDown { false };
    std::atomic<std::size_t> maxRowBytes { std::numeric_limits<std::size_t>::max() };
    std::atomic<int> rejections { 0 }; ///< Transactions with a longer row, or more rows than the platform takes.
    std::atomic<bool> areHandBackResponsesLost { false }; ///< Hand-backs take effect, but their responses are lost.
    std::atomic<int> responsesToLose { 0 }; ///< So many more transactions take effect without a response.

private:
    using Rows = std::map<jobs::RowKey, jobs::PartRow>;

    static constexpr std::size_t maxRows = 100;

    bool isRejected(const jobs::PartTransaction& transaction) const
    {
        return transaction.writes.size() > maxRows
            || std::any_of(transaction.writes.begin(), transaction.writes.end(),
                [&](const jobs::RowWrite& write) { return write.value && write.value->size() > maxRowBytes; });
    }

    bool isResponseLost(const jobs::PartTransaction& transaction)
    {
        if (responsesToLose > 0) {
            --responsesToLose;
            return true;
        }
        const std::string& bytes = transaction.writes.at(0).value.value();
        const auto row = valueOrNothing([&] { return jobs::decodeOwnerRow(bytes); });
        return areHandBackResponsesLost && row && !row->outstandingLeases.empty();
    }

    static std::vector<jobs::PartRow> current(const Rows& rows, const jobs::PartTransaction& transaction)
    {
        std::vector<jobs::PartRow> found;
        for (const jobs::RowCondition& condition : transaction.conditions) {
            const auto row = rows.find(condition.row);
            if (row != rows.end())
                found.push_back(row->second);
        }
        return found;
    }

    std::mutex m_mutex;
    std::map<std::string, Rows> m_parts;
    jobs::RowVersion m_version { 0 };
};

} // namespace rattanrack::node::tests
