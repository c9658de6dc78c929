#include "claim_rows.h"

#include "rattanrack/policy/claim_row_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace rattanrack::claims {

using namespace platform;
using namespace policy;

namespace {

constexpr std::size_t sequenceDigits = 16;
constexpr int hexadecimal = 16;

/// The text has a fixed width, so that the order of keys is the order of sequences.
std::string sequenceText(ClaimRowSequence sequence)
{
    std::array<char, sequenceDigits> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), sequence, hexadecimal).ptr;
    const std::string text { digits.data(), end };
    return std::string(sequenceDigits - text.size(), '0') + text;
}

std::optional<ClaimRowSequence> sequenceOf(const std::string& key, std::size_t prefixLength)
{
    ClaimRowSequence sequence = 0;
    const char* end = key.data() + key.size();
    const auto [parsedTo, error] = std::from_chars(key.data() + prefixLength, end, sequence, hexadecimal);
    const bool isWhole = error == std::errc {} && parsedTo == end && key.size() == prefixLength + sequenceDigits;
    return isWhole ? std::optional { sequence } : std::nullopt;
}

std::set<ClaimShardIndex> shardsOf(const ClaimBatch& batch)
{
    std::set<ClaimShardIndex> shards;
    for (const auto& append : batch.appends)
        shards.insert(append.shard);
    for (const auto& removal : batch.removals)
        shards.insert(removal.shard);
    return shards;
}

} // namespace

std::string dutyRowKey(ClaimShardIndex shard) { return "duty/claims/" + std::to_string(shard); }

std::string claimRowPrefix(ClaimShardIndex shard) { return "claims/" + std::to_string(shard) + "/"; }

std::string claimRowKey(ClaimShardIndex shard, ClaimRowSequence sequence)
{
    return claimRowPrefix(shard) + sequenceText(sequence);
}

Transaction transactionOf(const ClaimBatch& batch)
{
    Transaction transaction;
    for (const auto& append : batch.appends) {
        const auto key = claimRowKey(append.shard, append.sequence);
        transaction.conditions.push_back({ dutyRowKey(append.shard), append.dutyVersion });
        transaction.conditions.push_back({ key, 0 });
        transaction.writes.push_back({ key, append.value });
    }
    for (const auto& removal : batch.removals) {
        transaction.conditions.push_back({ dutyRowKey(removal.shard), removal.dutyVersion });
        for (const auto sequence : removal.sequences)
            transaction.writes.push_back({ claimRowKey(removal.shard, sequence), std::nullopt });
    }
    return transaction;
}

std::vector<std::string> readBackKeys(const ClaimBatch& batch)
{
    std::vector<std::string> keys;
    for (const auto shard : shardsOf(batch))
        keys.push_back(dutyRowKey(shard));
    for (const auto& append : batch.appends)
        keys.push_back(claimRowKey(append.shard, append.sequence));
    return keys;
}

std::vector<ClaimShardReading> readingsOf(const ClaimBatch& batch, const Rows& rows)
{
    std::vector<ClaimShardReading> readings;
    for (const auto shard : shardsOf(batch)) {
        ClaimShardReading reading { shard };
        const auto duty = std::ranges::find(rows, dutyRowKey(shard), &Row::key);
        if (duty != rows.end())
            reading.dutyVersion = duty->version;
        readings.push_back(std::move(reading));
    }
    for (const auto& append : batch.appends) {
        const auto row = std::ranges::find(rows, claimRowKey(append.shard, append.sequence), &Row::key);
        if (row != rows.end())
            std::ranges::find(readings, append.shard, &ClaimShardReading::shard)->value = row->value;
    }
    return readings;
}

std::optional<std::vector<ClaimRow>> claimRowsOf(ClaimShardIndex shard, const Rows& rows)
{
    std::vector<ClaimRow> claimRows;
    claimRows.reserve(rows.size());
    for (const auto& row : rows) {
        const auto sequence = sequenceOf(row.key, claimRowPrefix(shard).size());
        auto claims = decodeClaimRow(row.value);
        if (!sequence || !claims)
            return std::nullopt;
        claimRows.push_back({ *sequence, std::move(*claims) });
    }
    return claimRows;
}

ClaimCommitStatus claimStatus(CommitStatus status)
{
    switch (status) {
    case CommitStatus::Done:
        return ClaimCommitStatus::Done;
    case CommitStatus::Conflict:
        return ClaimCommitStatus::Conflict;
    case CommitStatus::Refused:
        return ClaimCommitStatus::Refused;
    case CommitStatus::Unavailable:
        return ClaimCommitStatus::Unavailable;
    case CommitStatus::Unknown:
        break;
    }
    return ClaimCommitStatus::Unknown;
}

} // namespace rattanrack::claims
