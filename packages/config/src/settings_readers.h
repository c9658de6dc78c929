#pragma once

#include "rattanrack/base/log.h"
#include "rattanrack/config/node_settings.h"
#include "rattanrack/config/section.h"

#include <string_view>

/// Readers that several kinds of settings have in common.
namespace rattanrack::config {

std::string notAnAddress(const YamlNode& node);
void readAddress(Section& section, std::string_view key, Address& output);
void readLogLevel(Section& section, LogLevel& output);

/// Parses `text` as one map of settings; `read` takes it apart.
template <typename Settings>
Checked<Settings> parseSettings(
    const std::string& name, std::string_view text, const std::function<Settings(Section&)>& read)
{
    Diagnostics diagnostics;
    const auto root = parseYaml(name, text, diagnostics);
    if (root && root->type != YamlType::Map)
        diagnostics.push_back({ name, root->line, root->column, "", "expected a map" });
    if (!root || root->type != YamlType::Map)
        return Checked<Settings>::invalid(std::move(diagnostics));
    Section top { name, *root, "", diagnostics };
    Settings settings = read(top);
    if (!diagnostics.empty())
        return Checked<Settings>::invalid(std::move(diagnostics));
    return Checked<Settings>::valid(std::move(settings));
}

} // namespace rattanrack::config
