#pragma once

#include "rattanrack/base/error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

/// CBOR encoding of rows and messages.
namespace rattanrack::jobs {

inline std::string toCbor(const nlohmann::json& json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

/// Parses `bytes` and returns the result of `decoder`, which need not check whether fields are missing or of another
/// type. Errors: MalformedMessage.
template <typename Decoder>
auto fromCbor(const char* step, const std::string& bytes, const Decoder& decoder)
    -> Result<decltype(decoder(std::declval<nlohmann::json>()))>
{
    const auto json = nlohmann::json::from_cbor(bytes, true, false);
    if (json.is_discarded())
        return fail(ErrorCode::MalformedMessage, step, "", "not CBOR");
    try {
        return decoder(json);
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::MalformedMessage, step, "", error.what());
    }
}

} // namespace rattanrack::jobs
