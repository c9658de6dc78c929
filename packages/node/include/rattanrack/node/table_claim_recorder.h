#pragma once

#include "rattanrack/node/claim_recorder.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/platform/table.h"

#include <atomic>

namespace rattanrack::node {

/// Keeps each claim in a row of its own, `claim/<key>`: one write to claim, one to end. Needs no home and no peers, at
/// the price of writes that grow with the requests.
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
    std::atomic<bool> m_isStoreUp { true }; ///< As the last call found it.
};

} // namespace rattanrack::node
