#pragma once

#include "rattanrack/policy/claim_home.h"
#include "rattanrack/policy/claim_row_codec.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanrack::test {

/// The part of the table that claims use: duty versions and rows, changed by conditional transactions.
class FakeClaimTable {
public:
    using RowKey = std::pair<policy::ClaimShardIndex, policy::ClaimRowSequence>;

    policy::ClaimCommitStatus commit(const policy::ClaimBatch& batch)
    {
        for (const auto& append : batch.appends) {
            if (m_duties[append.shard] != append.dutyVersion || m_rows.contains({ append.shard, append.sequence }))
                return policy::ClaimCommitStatus::Conflict;
        }
        for (const auto& removal : batch.removals) {
            if (m_duties[removal.shard] != removal.dutyVersion)
                return policy::ClaimCommitStatus::Conflict;
        }
        for (const auto& append : batch.appends)
            store(append);
        for (const auto& removal : batch.removals) {
            for (const auto sequence : removal.sequences)
                m_rows.erase({ removal.shard, sequence });
        }
        ++m_commits;
        return policy::ClaimCommitStatus::Done;
    }

    std::vector<policy::ClaimShardReading> readBack(const policy::ClaimBatch& batch)
    {
        std::map<policy::ClaimShardIndex, policy::ClaimShardReading> readings;
        for (const auto& removal : batch.removals)
            readings[removal.shard] = { removal.shard, m_duties[removal.shard], {} };
        for (const auto& append : batch.appends) {
            auto& reading = readings[append.shard];
            reading = { append.shard, m_duties[append.shard], {} };
            const auto found = m_rows.find({ append.shard, append.sequence });
            if (found != m_rows.end())
                reading.value = found->second;
        }
        std::vector<policy::ClaimShardReading> list;
        list.reserve(readings.size());
        for (auto& [shard, reading] : readings)
            list.push_back(std::move(reading));
        return list;
    }

    policy::ClaimDutyVersion takeDuty(policy::ClaimShardIndex shard) { return m_duties[shard] = ++m_lastVersion; }

    std::vector<policy::ClaimRow> rowsOf(policy::ClaimShardIndex shard) const
    {
        std::vector<policy::ClaimRow> rows;
        for (const auto& [key, value] : m_rows) {
            if (key.first == shard)
                rows.push_back({ key.second, policy::decodeClaimRow(value).value() });
        }
        return rows;
    }

    bool wasEverClaimed(const AttemptId& attempt) const { return m_everClaimed.contains(attempt); }
    std::size_t rowCount() const { return m_rows.size(); }
    std::size_t commits() const { return m_commits; }

private:
    void store(const policy::ClaimAppend& append)
    {
        m_rows[{ append.shard, append.sequence }] = append.value;
        const auto claims = policy::decodeClaimRow(append.value);
        for (const auto& claim : claims.value())
            m_everClaimed.insert(claim.attempt);
    }

    std::map<policy::ClaimShardIndex, policy::ClaimDutyVersion> m_duties;
    std::map<RowKey, std::string> m_rows;
    std::set<AttemptId> m_everClaimed;
    policy::ClaimDutyVersion m_lastVersion { 0 };
    std::size_t m_commits { 0 };
};

inline policy::Claim claimOf(const std::string& key, const std::string& attempt, const std::string& owner = "owner")
{
    policy::Claim claim;
    claim.key = IdempotencyKey { key };
    claim.fingerprint = 7;
    claim.attempt = AttemptId { attempt };
    claim.owner = NodeId { owner };
    return claim;
}

inline policy::Claim settled(policy::Claim claim, policy::ClaimState state, const std::string& output = {})
{
    claim.state = state;
    claim.output = output;
    return claim;
}

} // namespace rattanrack::test
