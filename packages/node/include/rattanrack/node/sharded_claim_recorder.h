#pragma once

#include "rattanrack/claims/claim_store.h"
#include "rattanrack/node/claim_recorder.h"
#include "rattanrack/platform/rate_limited_table.h"

#include <memory>

namespace rattanrack::node {

/// Records claims through the home nodes of their shards, many in one transaction; docs/design/at_most_once.md compares
/// this with one row per claim.
class ShardedClaimRecorder final : public ClaimRecorder {
public:
    /// Both must outlive this object; `store` must be set before the first claim.
    ShardedClaimRecorder(const std::unique_ptr<claims::ClaimStore>& store, const platform::RateLimitedTable& table)
        : m_store(store)
        , m_table(table)
    {
    }

    void submit(policy::Claim claim, OnAnswer onAnswer) override
    {
        m_store->submit(std::move(claim), std::move(onAnswer));
    }

    bool isStoreUp() const override { return m_table.isServiceUp(); }

private:
    const std::unique_ptr<claims::ClaimStore>& m_store;
    const platform::RateLimitedTable& m_table;
};

} // namespace rattanrack::node
