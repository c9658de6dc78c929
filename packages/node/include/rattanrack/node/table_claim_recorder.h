#pragma once

#include "rattanrack/node/claim_recorder.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/platform/table.h"

#include <atomic>

namespace rattanrack::node {

/// Records each claim in its own row, `claim/<key>`: one write for the claim, one for its end. Needs no home nodes and
/// no peers, but the number of writes grows with the number of requests.
class TableClaimRecorder final : public ClaimRecorder {
public:
    /// Both must outlive this object; `pool` runs the table calls.
    TableClaimRecorder(platform::Table& table, ElasticThreadPool& pool)
        : m_table(table)
        , m_pool(pool)
    {
    }

    void submit(policy::Claim claim, OnAnswer onAnswer) override;

    bool isStoreUp() const override { return m_isStoreUp.load(); }

    /// The blocking form of `submit`.
    policy::ClaimAnswer record(const policy::Claim& claim);

private:
    platform::Table& m_table;
    ElasticThreadPool& m_pool;
    std::atomic<bool> m_isStoreUp { true }; ///< Result of the last call.
};

} // namespace rattanrack::node
