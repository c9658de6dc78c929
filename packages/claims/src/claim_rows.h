#pragma once

#include "rattanrack/platform/table.h"
#include "rattanrack/policy/claim_home.h"

#include <optional>
#include <vector>

/// Converts claim batches into transactions, and rows into claims.
namespace rattanrack::claims {

std::string dutyRowKey(policy::ClaimShardIndex);
std::string claimRowPrefix(policy::ClaimShardIndex);
std::string claimRowKey(policy::ClaimShardIndex, policy::ClaimRowSequence);

platform::Transaction transactionOf(const policy::ClaimBatch&);

/// Keys of the rows that show whether a batch was committed.
std::vector<std::string> readBackKeys(const policy::ClaimBatch&);
std::vector<policy::ClaimShardReading> readingsOf(const policy::ClaimBatch&, const platform::Rows&);

/// Decodes a shard's rows; nullopt when a row is malformed.
std::optional<std::vector<policy::ClaimRow>> claimRowsOf(policy::ClaimShardIndex, const platform::Rows&);

policy::ClaimCommitStatus claimStatus(platform::CommitStatus);

} // namespace rattanrack::claims
