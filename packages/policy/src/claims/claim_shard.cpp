#include "rattanrack/policy/claim_shard.h"

#include "rattanrack/base/invariant.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanrack::policy {

ClaimShardIndex claimShardOf(const IdempotencyKey& key, std::uint32_t shardCount)
{
    return static_cast<ClaimShardIndex>(XXH3_64bits(key.value().data(), key.value().size()) % shardCount);
}

ClaimShard::ClaimShard(const std::vector<ClaimRow>& rows, Duration retention, TimePoint now)
    : m_retention(retention)
{
    for (const auto& row : rows)
        apply(row, now);
}

ClaimDecision ClaimShard::decide(const Claim& claim) const
{
    return claim.state == ClaimState::Claimed ? decideClaim(claim) : decideSettlement(claim);
}

ClaimDecision ClaimShard::decideClaim(const Claim& claim) const
{
    const auto found = m_records.find(claim.key);
    if (found == m_records.end())
        return { ClaimVerdict::Granted, claim, true };
    const auto& record = found->second.claim;
    if (record.fingerprint != claim.fingerprint)
        return { ClaimVerdict::ContentDiffers, record, false };
    const bool isSameAttempt = record.attempt == claim.attempt && record.owner == claim.owner;
    if (record.state == ClaimState::Claimed && isSameAttempt)
        return { ClaimVerdict::Granted, record, false };
    if (record.state == ClaimState::Withdrawn && record.attempt != claim.attempt)
        return { ClaimVerdict::Granted, claim, true };
    return { ClaimVerdict::Taken, record, false };
}

ClaimDecision ClaimShard::decideSettlement(const Claim& settlement) const
{
    const auto found = m_records.find(settlement.key);
    if (found == m_records.end())
        return { ClaimVerdict::Granted, settlement, settlement.state != ClaimState::Withdrawn };
    const auto& record = found->second.claim;
    if (record.attempt != settlement.attempt)
        return { ClaimVerdict::Taken, record, false };
    if (record.state == settlement.state)
        return { ClaimVerdict::Granted, record, false };
    if (record.state != ClaimState::Claimed) {
        checkInvariant(record.state != ClaimState::Withdrawn, "claims.withdrawn_did_not_run", record.attempt.value());
        return { ClaimVerdict::Taken, record, false };
    }
    Claim settled = record;
    settled.state = settlement.state;
    settled.output = settlement.output;
    return { ClaimVerdict::Granted, std::move(settled), true };
}

void ClaimShard::apply(const ClaimRow& row, TimePoint now)
{
    m_nextSequence = std::max(m_nextSequence, row.sequence + 1);
    m_liveInRow[row.sequence] = row.claims.size();
    for (const auto& claim : row.claims) {
        const auto found = m_records.find(claim.key);
        if (found != m_records.end())
            leaveRow(found->second.row);
        m_records[claim.key] = { claim, row.sequence };
        if (claim.state != ClaimState::Claimed)
            m_expiries.push_back({ Deadline::after(now, m_retention), claim.key, row.sequence });
    }
}

void ClaimShard::expire(TimePoint now)
{
    for (; !m_expiries.empty() && m_expiries.front().deadline.hasPassed(now); m_expiries.pop_front()) {
        const auto& expiry = m_expiries.front();
        const auto found = m_records.find(expiry.key);
        if (found == m_records.end() || found->second.row != expiry.row)
            continue;
        m_records.erase(found);
        leaveRow(expiry.row);
    }
}

std::vector<ClaimRowSequence> ClaimShard::removableRows(std::size_t limit) const
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(limit, m_removable.size()));
    return { m_removable.begin(), m_removable.begin() + count };
}

void ClaimShard::forgetRemovedRows(std::size_t count)
{
    m_removable.erase(m_removable.begin(), m_removable.begin() + static_cast<std::ptrdiff_t>(count));
}

void ClaimShard::leaveRow(ClaimRowSequence row)
{
    const auto found = m_liveInRow.find(row);
    if (--found->second > 0)
        return;
    m_liveInRow.erase(found);
    m_removable.push_back(row);
}

} // namespace rattanrack::policy
