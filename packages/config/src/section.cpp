#include "rattanrack/config/section.h"

#include "quantity_text.h"

#include <algorithm>
#include <utility>

namespace rattanrack::config {

namespace {

constexpr std::size_t maxNameBytes = 64;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string quoted(const YamlNode& node) { return "'" + node.scalar.substr(0, maxNameBytes) + "'"; }

std::string listed(const std::set<std::string, std::less<>>& keys)
{
    std::string text;
    for (const std::string& key : keys)
        text += (text.empty() ? "" : ", ") + key;
    return text;
}

} // namespace

Section::Section(const std::string& file, const YamlNode& node, std::string path, Diagnostics& diagnostics)
    : m_file(file)
    , m_node(node)
    , m_path(std::move(path))
    , m_diagnostics(diagnostics)
{
}

void Section::readName(std::string_view key, Presence presence, std::string& output)
{
    const YamlNode* const node = readScalar(key, presence);
    if (!node)
        return;
    if (isName(node->scalar))
        output = node->scalar;
    else
        report(key, quoted(*node) + " is not a name, expected 1 to 64 of a-z, 0-9 and -");
}

void Section::readCount(std::string_view key, Presence presence, CountRange range, std::uint32_t& output)
{
    const YamlNode* const node = readScalar(key, presence);
    if (!node)
        return;
    const auto count = parseCount(node->scalar);
    if (count && *count >= range.least && *count <= range.most)
        output = static_cast<std::uint32_t>(*count);
    else
        report(key,
            quoted(*node) + ", expected a whole number from " + std::to_string(range.least) + " to "
                + std::to_string(range.most));
}

void Section::readNumber(std::string_view key, NumberRange range, double& output)
{
    const YamlNode* const node = readScalar(key, Presence::Optional);
    if (!node)
        return;
    const auto number = parseNumber(node->scalar);
    const bool isAboveLeast = number && (range.excludesLeast ? *number > range.least : *number >= range.least);
    if (isAboveLeast && *number <= range.most)
        output = *number;
    else
        report(key,
            quoted(*node) + ", expected a number " + (range.excludesLeast ? "above " : "from ")
                + numberText(range.least) + " to " + numberText(range.most));
}

void Section::readDuration(std::string_view key, DurationRange range, Duration& output)
{
    const YamlNode* const node = readScalar(key, Presence::Optional);
    if (!node)
        return;
    const auto duration = parseDuration(node->scalar);
    if (duration && *duration >= range.least && *duration <= range.most)
        output = *duration;
    else
        report(key,
            quoted(*node) + ", expected a duration from " + durationText(range.least) + " to "
                + durationText(range.most) + ", such as 150ms, 2s or 5min");
}

void Section::readBytes(std::string_view key, CountRange range, std::uint64_t& output)
{
    const YamlNode* const node = readScalar(key, Presence::Optional);
    if (!node)
        return;
    const auto bytes = parseBytes(node->scalar);
    if (bytes && *bytes >= range.least && *bytes <= range.most)
        output = *bytes;
    else
        report(key,
            quoted(*node) + ", expected memory from " + bytesText(range.least) + " to " + bytesText(range.most)
                + ", such as 64KiB, 16MiB or 4GiB");
}

const YamlNode* Section::readScalar(std::string_view key, Presence presence)
{
    return request(key, presence, YamlType::Scalar, "a single value");
}

void Section::readList(std::string_view key, Presence presence, const std::function<void(Section&)>& readItem)
{
    const YamlNode* const list = request(key, presence, YamlType::Sequence, "a list");
    if (!list)
        return;
    for (std::size_t index = 0; index < list->children.size(); ++index) {
        const YamlNode& item = list->children[index];
        const std::string path = pathOf(key) + "[" + std::to_string(index) + "]";
        if (item.type != YamlType::Map) {
            reportAt(item, path, "expected a map");
            continue;
        }
        Section section { m_file, item, path, m_diagnostics };
        readItem(section);
        section.reportUnknownKeys();
    }
}

void Section::readScalars(
    std::string_view key, const std::function<void(const YamlNode&, const std::string&)>& readItem)
{
    const YamlNode* const list = request(key, Presence::Optional, YamlType::Sequence, "a list");
    if (!list)
        return;
    for (std::size_t index = 0; index < list->children.size(); ++index) {
        const YamlNode& item = list->children[index];
        const std::string path = pathOf(key) + "[" + std::to_string(index) + "]";
        if (item.type == YamlType::Scalar)
            readItem(item, path);
        else
            reportAt(item, path, "expected a single value");
    }
}

void Section::readMap(std::string_view key, Presence presence, const std::function<void(Section&)>& readMap)
{
    const YamlNode* const map = request(key, presence, YamlType::Map, "a map");
    if (!map)
        return;
    Section section { m_file, *map, pathOf(key), m_diagnostics };
    readMap(section);
    section.reportUnknownKeys();
}

void Section::reportUnknownKeys()
{
    for (const YamlNode& key : m_node.keys) {
        if (key.type == YamlType::Scalar && !m_known.contains(key.scalar))
            reportAt(key, pathOf(key.scalar), "unknown key, expected one of: " + listed(m_known));
    }
}

bool Section::has(std::string_view key) const { return find(key) != nullptr; }

void Section::report(std::string_view key, const std::string& message)
{
    const YamlNode* const node = key.empty() ? nullptr : find(key);
    if (node)
        reportAt(*node, pathOf(key), message);
    else
        reportAt(m_node, m_path, message);
}

void Section::reportAt(const YamlNode& node, const std::string& path, const std::string& message)
{
    m_diagnostics.push_back({ m_file, node.line, node.column, path, message });
}

const YamlNode* Section::find(std::string_view key) const
{
    for (std::size_t index = 0; index < m_node.keys.size(); ++index) {
        const YamlNode& found = m_node.keys[index];
        if (found.type == YamlType::Scalar && found.scalar == key)
            return &m_node.children[index];
    }
    return nullptr;
}

const YamlNode* Section::request(std::string_view key, Presence presence, YamlType type, std::string_view expected)
{
    m_known.emplace(key);
    const YamlNode* const node = find(key);
    if (!node) {
        if (presence == Presence::Required)
            reportAt(m_node, pathOf(key), "missing, expected " + std::string { expected });
        return nullptr;
    }
    if (node->type == type)
        return node;
    report(key, "wrong type, expected " + std::string { expected });
    return nullptr;
}

std::string Section::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string { key } : m_path + "." + std::string { key };
}

} // namespace rattanrack::config
