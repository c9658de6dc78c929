#include "rattanrack/policy/claim_row_codec.h"

#include <nlohmann/json.hpp>

namespace rattanrack::policy {

namespace {

using nlohmann::json;

constexpr std::uint64_t lastState = static_cast<std::uint64_t>(ClaimState::Failed);

json toJson(const Claim& claim)
{
    return { claim.key.value(), claim.fingerprint, claim.attempt.value(), claim.owner.value(),
        static_cast<unsigned>(claim.state), claim.output };
}

const std::string& text(const json& record, std::size_t field)
{
    return record.at(field).get_ref<const std::string&>();
}

std::optional<Claim> toClaim(const json& record)
{
    if (!record.at(1).is_number_unsigned() || !record.at(4).is_number_unsigned())
        return std::nullopt;
    const auto state = record.at(4).get<std::uint64_t>();
    if (state > lastState)
        return std::nullopt;
    return Claim { IdempotencyKey { text(record, 0) }, record.at(1).get<std::uint64_t>(), AttemptId { text(record, 2) },
        NodeId { text(record, 3) }, static_cast<ClaimState>(state), text(record, 5) };
}

} // namespace

std::optional<std::string> encodeClaimRow(const NodeId& writer, std::uint64_t batch, const std::vector<Claim>& claims)
{
    json records = json::array();
    for (const auto& claim : claims)
        records.push_back(toJson(claim));
    try {
        return json { { "writer", writer.value() }, { "batch", batch }, { "claims", std::move(records) } }.dump();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::vector<Claim>> decodeClaimRow(const std::string& value)
{
    try {
        std::vector<Claim> claims;
        const auto document = json::parse(value);
        for (const auto& record : document.at("claims")) {
            auto claim = toClaim(record);
            if (!claim)
                return std::nullopt;
            claims.push_back(std::move(*claim));
        }
        return claims;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace rattanrack::policy
