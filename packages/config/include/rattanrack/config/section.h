#pragma once

#include "rattanrack/config/yaml_tree.h"

#include "rattanrack/base/time.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace rattanrack::config {

struct CountRange {
    std::uint64_t least;
    std::uint64_t most;
};

struct NumberRange {
    double least;
    double most;
    bool excludesLeast { false };
};

struct DurationRange {
    Duration least;
    Duration most;
};

enum class Presence { Optional, Required };

/// Reads one map of a YAML file key by key, and adds a diagnostic for each mistake. A key that is absent or wrong
/// leaves the output as it was. Lives no longer than the tree and the diagnostics it was made with.
class Section {
public:
    Section(const std::string& file, const YamlNode& node, std::string path, Diagnostics& diagnostics);

    void readName(std::string_view key, Presence presence, std::string& output);
    void readCount(std::string_view key, Presence presence, CountRange range, std::uint32_t& output);
    void readNumber(std::string_view key, NumberRange range, double& output);
    void readDuration(std::string_view key, DurationRange range, Duration& output);
    void readBytes(std::string_view key, CountRange range, std::uint64_t& output);

    /// The text of a scalar, for types that only the caller knows.
    const YamlNode* readScalar(std::string_view key, Presence presence);

    /// Calls `readItem` with a section for each map in the list under `key`.
    void readList(std::string_view key, Presence presence, const std::function<void(Section&)>& readItem);

    /// The list under `key` whose items are scalars; the path of each goes with it.
    void readScalars(std::string_view key, const std::function<void(const YamlNode&, const std::string&)>& readItem);

    /// Calls `readMap` with a section for the map under `key`.
    void readMap(std::string_view key, Presence presence, const std::function<void(Section&)>& readMap);

    /// Reports every key that none of the calls before asked for.
    void reportUnknownKeys();

    bool has(std::string_view key) const;

    /// A mistake at `key`, or at the section itself when the key is absent or empty.
    void report(std::string_view key, const std::string& message);
    void reportAt(const YamlNode& node, const std::string& path, const std::string& message);

private:
    const YamlNode* find(std::string_view key) const;
    const YamlNode* request(std::string_view key, Presence presence, YamlType type, std::string_view expected);
    std::string pathOf(std::string_view key) const;

    const std::string& m_file;
    const YamlNode& m_node;
    std::string m_path;
    Diagnostics& m_diagnostics;
    std::set<std::string, std::less<>> m_known;
};

} // namespace rattanrack::config
