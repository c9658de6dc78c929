#pragma once

#include "rattanrack/config/diagnostic.h"
#include "rattanrack/config/federation.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::config {

/// A YAML text and the name by which diagnostics call it.
struct SourceText {
    std::string name;
    std::string text;
};

/// Merges one base with any number of overlays, one for each site at most, and checks the outcome.
///
///     const auto loaded = load({ "base.yaml", base }, { { "munich.yaml", overlay } });
Checked<Federation> load(const SourceText& base, const std::vector<SourceText>& overlays);

/// Reads a file for `load`. Errors: NotFound (cannot be read), InvalidArgument (more than 1 MiB).
Result<SourceText> readSource(const std::string& path);

/// The canonical document of a federation: equal federations give equal texts. It is itself a base file without
/// overlays.
std::string serialize(const Federation&);

/// Reads a canonical document, or any base file.
Checked<Federation> parse(std::string_view document);

} // namespace rattanrack::config
