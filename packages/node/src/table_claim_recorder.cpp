#include "rattanrack/node/table_claim_recorder.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace rattanrack::node {

namespace {

using nlohmann::json;
using policy::Claim;
using policy::ClaimAnswer;
using policy::ClaimState;
using policy::ClaimVerdict;

constexpr int maxTries = 4;
const ClaimAnswer unavailable { ClaimVerdict::Unavailable, {} };

std::string rowKey(const Claim& claim) { return "claim/" + claim.key.value(); }

std::string encode(const Claim& claim)
{
    const json object { { "fingerprint", claim.fingerprint }, { "attempt", claim.attempt.value() },
        { "owner", claim.owner.value() }, { "state", static_cast<int>(claim.state) }, { "output", claim.output } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Claim> decode(const IdempotencyKey& key, const std::string& text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const int state = object.value("state", -1);
    if (state < 0 || state > static_cast<int>(ClaimState::Failed))
        return std::nullopt;
    return Claim { key, object.value("fingerprint", std::uint64_t { 0 }), AttemptId { object.value("attempt", "") },
        NodeId { object.value("owner", "") }, static_cast<ClaimState>(state), object.value("output", "") };
}

/// Returns the verdict on storing `wanted` over `stored`, or nothing if it may be stored.
std::optional<ClaimAnswer> verdictOn(const Claim& stored, const Claim& wanted)
{
    const bool isOwn = stored.attempt == wanted.attempt;
    if (isOwn && stored.state == wanted.state)
        return ClaimAnswer { ClaimVerdict::Granted, stored };
    if (isOwn && stored.state == ClaimState::Claimed)
        return std::nullopt;
    if (stored.fingerprint != wanted.fingerprint)
        return ClaimAnswer { ClaimVerdict::ContentDiffers, stored };
    if (!isOwn && stored.state == ClaimState::Withdrawn && wanted.state == ClaimState::Claimed)
        return std::nullopt;
    return ClaimAnswer { ClaimVerdict::Taken, stored };
}

} // namespace

void TableClaimRecorder::submit(Claim claim, OnAnswer onAnswer)
{
    auto shared = std::make_shared<OnAnswer>(std::move(onAnswer));
    const bool isAccepted = m_pool.submit([this, claim = std::move(claim), shared] {
        const ClaimAnswer answer = record(claim);
        m_isStoreUp.store(answer.verdict != ClaimVerdict::Unavailable);
        (*shared)(answer);
    });
    if (!isAccepted)
        (*shared)(unavailable);
}

ClaimAnswer TableClaimRecorder::record(const Claim& claim)
{
    const std::string key = rowKey(claim);
    // After a lost response or a conflict, the row is read again.
    for (int tries = 0; tries < maxTries; ++tries) {
        const auto rows = valueOrNothing([&] { return m_table.read({ key }); });
        if (!rows)
            return unavailable;
        platform::RowVersion version = 0;
        if (!rows->empty()) {
            const auto stored = decode(claim.key, rows->front().value);
            if (!stored)
                return unavailable;
            if (auto verdict = verdictOn(*stored, claim))
                return *verdict;
            version = rows->front().version;
        }
        const auto outcome = m_table.commit({ { { key, version } }, { { key, encode(claim) } } });
        if (outcome.status == platform::CommitStatus::Done)
            return { ClaimVerdict::Granted, claim };
        if (outcome.status == platform::CommitStatus::Unavailable || outcome.status == platform::CommitStatus::Refused)
            return unavailable;
    }
    return unavailable;
}

} // namespace rattanrack::node
