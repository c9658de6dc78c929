#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/peer/config_distribution.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattanrack::peer {

/// The difference between a configuration and its predecessor: one replaced span, and who wrote it.
struct ConfigPatch {
    std::uint64_t version { 0 };
    std::uint32_t keptPrefix { 0 }; ///< Bytes.
    std::uint32_t keptSuffix { 0 }; ///< Bytes.
    std::string middle;
    std::uint64_t contentHash { 0 }; ///< Of the whole text that results.
    std::string attempt;
    OperatorId author;
};

std::uint64_t configHash(const std::string& text);

/// The difference from `before` to `after`.
ConfigPatch makePatch(const std::string& before, const ConfigDocument& after);

/// The text that results; empty when the patch does not fit `before`.
std::optional<std::string> applyPatch(const std::string& before, const ConfigPatch& patch);

std::string encodePatch(const ConfigPatch& patch);
Result<ConfigPatch> decodePatch(const platform::Row& row); ///< Errors: MalformedMessage.
std::string encodeHead(const ConfigHead& head);
Result<ConfigHead> decodeHead(const platform::Row& row); ///< Errors: MalformedMessage.

} // namespace rattanrack::peer
