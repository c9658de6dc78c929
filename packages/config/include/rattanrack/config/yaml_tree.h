#pragma once

#include "rattanrack/config/diagnostic.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::config {

enum class YamlType { Null, Scalar, Sequence, Map };

/// A YAML value with its place. Keys of a map stand in `keys`, in step with the values in `children`.
struct YamlNode {
    YamlType type { YamlType::Null };
    std::size_t line { 1 };
    std::size_t column { 1 };
    std::string scalar;
    std::vector<YamlNode> keys;
    std::vector<YamlNode> children;
};

constexpr std::size_t maxDocumentBytes = 1U << 20U;
constexpr std::size_t maxYamlDepth = 16;
constexpr std::size_t maxYamlNodes = 200'000;

/// Parses one document into a tree of bounded size and depth. Anchors, aliases, tags, further documents and duplicate
/// keys are mistakes. Returns nothing when the text has no usable tree; then `diagnostics` has grown.
std::optional<YamlNode> parseYaml(const std::string& file, std::string_view text, Diagnostics& diagnostics);

} // namespace rattanrack::config
