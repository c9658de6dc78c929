#include "config_patch.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace rattanrack::peer {

namespace {

bool isContinuationByte(char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U; }

/// Shortens the kept prefix and suffix, so that the span between them consists of whole characters: rows are UTF-8.
void widenSpanToCharacters(const std::string& text, std::size_t& prefix, std::size_t& suffix)
{
    while (prefix > 0 && prefix < text.size() && isContinuationByte(text[prefix]))
        --prefix;
    while (suffix > 0 && isContinuationByte(text[text.size() - suffix]))
        --suffix;
}

} // namespace

std::uint64_t configHash(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

ConfigPatch makePatch(const std::string& before, const ConfigDocument& after)
{
    const std::string& text = after.text;
    const std::size_t shorter = std::min(before.size(), text.size());
    std::size_t prefix = 0;
    while (prefix < shorter && before[prefix] == text[prefix])
        ++prefix;
    std::size_t suffix = 0;
    while (suffix < shorter - prefix && before[before.size() - 1 - suffix] == text[text.size() - 1 - suffix])
        ++suffix;
    widenSpanToCharacters(text, prefix, suffix);
    ConfigPatch patch;
    patch.version = after.version;
    patch.keptPrefix = static_cast<std::uint32_t>(prefix);
    patch.keptSuffix = static_cast<std::uint32_t>(suffix);
    patch.middle = text.substr(prefix, text.size() - prefix - suffix);
    patch.contentHash = configHash(text);
    return patch;
}

std::optional<std::string> applyPatch(const std::string& before, const ConfigPatch& patch)
{
    if (std::size_t { patch.keptPrefix } + patch.keptSuffix > before.size())
        return std::nullopt;
    std::string text = before.substr(0, patch.keptPrefix) + patch.middle;
    text += before.substr(before.size() - patch.keptSuffix);
    if (configHash(text) != patch.contentHash)
        return std::nullopt;
    return text;
}

std::string encodePatch(const ConfigPatch& patch)
{
    return nlohmann::json {
        { "version", patch.version }, { "prefix", patch.keptPrefix }, { "suffix", patch.keptSuffix },
        { "middle", patch.middle }, { "hash", patch.contentHash }, { "attempt", patch.attempt },
        { "author", patch.author.value() }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ConfigPatch> decodePatch(const platform::Row& row)
{
    const auto json = nlohmann::json::parse(row.value, nullptr, false);
    try {
        ConfigPatch patch;
        json.at("version").get_to(patch.version);
        json.at("prefix").get_to(patch.keptPrefix);
        json.at("suffix").get_to(patch.keptSuffix);
        json.at("middle").get_to(patch.middle);
        json.at("hash").get_to(patch.contentHash);
        json.at("attempt").get_to(patch.attempt);
        patch.author = OperatorId { json.at("author").get<std::string>() };
        return patch;
    } catch (const nlohmann::json::exception& exception) {
        return fail(ErrorCode::MalformedMessage, "config_patch.decode", row.key, exception.what());
    }
}

std::string encodeHead(const ConfigHead& head)
{
    return nlohmann::json {
        { "version", head.version }, { "attempt", head.attempt }, { "author", head.author.value() }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ConfigHead> decodeHead(const platform::Row& row)
{
    const auto json = nlohmann::json::parse(row.value, nullptr, false);
    try {
        return ConfigHead { json.at("version").get<std::uint64_t>(), json.at("attempt").get<std::string>(),
            OperatorId { json.at("author").get<std::string>() } };
    } catch (const nlohmann::json::exception& exception) {
        return fail(ErrorCode::MalformedMessage, "config_head.decode", row.key, exception.what());
    }
}

} // namespace rattanrack::peer
