#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// Strict access to JSON: a missing field, a wrong type or a number out of range makes the whole document invalid.
namespace rattanrack::platform {

/// Thrown inside a decoder and caught by `decodeJson`.
struct FieldError : std::exception { };

inline std::string text(const nlohmann::json& object, const char* field)
{
    return object.at(field).get_ref<const std::string&>();
}

inline std::uint64_t unsignedNumber(const nlohmann::json& object, const char* field)
{
    const auto& value = object.at(field);
    if (!value.is_number_unsigned())
        throw FieldError {};
    return value.get<std::uint64_t>();
}

/// Returns an integer from 0 to INT64_MAX.
inline std::int64_t count(const nlohmann::json& object, const char* field)
{
    const std::uint64_t value = unsignedNumber(object, field);
    if (value > static_cast<std::uint64_t>(INT64_MAX))
        throw FieldError {};
    return static_cast<std::int64_t>(value);
}

inline bool flag(const nlohmann::json& object, const char* field)
{
    const auto& value = object.at(field);
    if (!value.is_boolean())
        throw FieldError {};
    return value.get<bool>();
}

inline const nlohmann::json& array(const nlohmann::json& object, const char* field)
{
    const auto& value = object.at(field);
    if (!value.is_array())
        throw FieldError {};
    return value;
}

/// Returns `decoder(document)`; nullopt when `source` is not valid JSON or the decoder finds an invalid field.
template <typename Decoder>
auto decodeJson(const std::string& source, Decoder decoder)
    -> std::optional<decltype(decoder(std::declval<const nlohmann::json&>()))>
{
    try {
        const auto document = nlohmann::json::parse(source);
        return decoder(document);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const FieldError&) {
        return std::nullopt;
    }
}

/// Returns the document's text; nullopt when it contains a string that is not UTF-8.
inline std::optional<std::string> encodeJson(const nlohmann::json& document)
{
    try {
        return document.dump();
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace rattanrack::platform
