#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/config_distribution.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattanrack::peer {

/// The difference between a configuration and the previous version: one replaced span, and the change it stems from.
struct ConfigPatch {
    std::uint64_t version { 0 };
    std::uint32_t keptPrefix { 0 }; ///< Bytes kept from the start of the previous text.
    std::uint32_t keptSuffix { 0 }; ///< Bytes kept from the end of the previous text.
    std::string middle;
    std::uint64_t contentHash { 0 }; ///< Hash of the whole resulting text.
    std::string attempt;
    OperatorId author;
};

std::uint64_t configHash(const std::string& text);

/// The difference from `before` to `after`.
ConfigPatch makePatch(const std::string& before, const ConfigDocument& after);

/// The resulting text; nullopt when the patch does not fit `before`.
std::optional<std::string> applyPatch(const std::string& before, const ConfigPatch& patch);

std::string encodePatch(const ConfigPatch& patch);
Result<ConfigPatch> decodePatch(const platform::Row& row); ///< Errors: MalformedMessage.
std::string encodeHead(const ConfigHead& head);
Result<ConfigHead> decodeHead(const platform::Row& row); ///< Errors: MalformedMessage.

} // namespace rattanrack::peer
