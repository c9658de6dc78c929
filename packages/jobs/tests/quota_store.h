#pragma once

#include "rattanrack/jobs/cell_quotas.h"

#include <map>
#include <string>

namespace rattanrack::jobs::tests {

/// The rows of quotas in the store, with versions and conditions.
class QuotaStore {
public:
    TransactionOutcome commit(const PartTransaction& transaction)
    {
        TransactionOutcome outcome { TransactionStatus::Done };
        for (const RowCondition& condition : transaction.conditions) {
            const auto row = m_rows.find(condition.row.key);
            if (row != m_rows.end())
                outcome.current.push_back(row->second);
            if ((row == m_rows.end() ? 0 : row->second.version) != condition.version)
                outcome.status = TransactionStatus::Conflict;
        }
        if (outcome.status == TransactionStatus::Conflict)
            return outcome;
        outcome.version = ++m_version;
        for (const RowWrite& write : transaction.writes) {
            if (write.value)
                m_rows[write.row.key] = { write.row, *write.value, m_version };
            else
                m_rows.erase(write.row.key);
        }
        return outcome;
    }

    RowPage read() const
    {
        RowPage page { {}, false, m_version };
        for (const auto& [key, row] : m_rows)
            page.rows.push_back(row);
        return page;
    }

private:
    std::map<std::string, PartRow> m_rows;
    RowVersion m_version { 0 };
};

} // namespace rattanrack::jobs::tests
