#pragma once

#include "rattanrack/base/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
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

/// Stops a parser at a nesting that no row or message has. The parser recurses for each level.
class DepthLimit final : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= maxDepth; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= maxDepth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override { return false; }

private:
    static constexpr int maxDepth = 16;

    bool leave()
    {
        --m_depth;
        return true;
    }

    int m_depth { 0 };
};

/// Parses `bytes` and returns the result of `decoder`, which need not check whether fields are missing or of another
/// type. Errors: MalformedMessage.
template <typename Decoder>
auto fromCbor(const char* step, const std::string& bytes, const Decoder& decoder)
    -> Result<decltype(decoder(std::declval<nlohmann::json>()))>
{
    using Json = nlohmann::json;
    DepthLimit depthLimit;
    if (!Json::sax_parse(bytes, &depthLimit, Json::input_format_t::cbor))
        return fail(ErrorCode::MalformedMessage, step, "", "not CBOR, or nested too deeply");
    const auto json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded())
        return fail(ErrorCode::MalformedMessage, step, "", "not CBOR");
    try {
        return decoder(json);
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::MalformedMessage, step, "", error.what());
    }
}

} // namespace rattanrack::jobs
