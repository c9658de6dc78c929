#include "rattanrack/config/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace rattanrack::config {

namespace {

/// Ends the parse at the first construct that is not allowed.
struct ForbiddenYaml {
    YAML::Mark mark;
    std::string message;
};

/// Builds the tree from the parser's events; nothing is expanded, so the tree is never larger than the text.
class TreeBuilder final : public YAML::EventHandler {
public:
    void OnDocumentStart(const YAML::Mark&) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        add(nodeAt(mark, YamlType::Null));
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
    {
        throw ForbiddenYaml { mark, "aliases are not allowed, expected the value itself" };
    }

    void OnScalar(
        const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        YamlNode node = nodeAt(mark, YamlType::Scalar);
        node.scalar = value;
        add(std::move(node));
    }

    void OnSequenceStart(
        const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, YamlType::Sequence);
    }
    void OnSequenceEnd() override { close(); }

    void OnMapStart(
        const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, YamlType::Map);
    }
    void OnMapEnd() override { close(); }

    YamlNode takeRoot() { return std::move(m_root); }

private:
    static YamlNode nodeAt(const YAML::Mark& mark, YamlType type)
    {
        YamlNode node;
        node.type = type;
        node.line = static_cast<std::size_t>(std::max(mark.line, 0)) + 1;
        node.column = static_cast<std::size_t>(std::max(mark.column, 0)) + 1;
        return node;
    }

    static void rejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor)
    {
        if (anchor)
            throw ForbiddenYaml { mark, "anchors are not allowed" };
    }

    static void rejectTag(const YAML::Mark& mark, const std::string& tag)
    {
        if (!tag.empty() && tag != "?" && tag != "!")
            throw ForbiddenYaml { mark, "tags are not allowed" };
    }

    void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, YamlType type)
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        if (m_open.size() >= maxYamlDepth)
            throw ForbiddenYaml { mark, "nested deeper than " + std::to_string(maxYamlDepth) + " levels" };
        m_open.push_back(nodeAt(mark, type));
    }

    void close()
    {
        YamlNode done = std::move(m_open.back());
        m_open.pop_back();
        add(std::move(done));
    }

    void add(YamlNode node)
    {
        if (++m_count > maxYamlNodes)
            throw ForbiddenYaml { {}, "more than " + std::to_string(maxYamlNodes) + " values" };
        if (m_open.empty()) {
            m_root = std::move(node);
            return;
        }
        YamlNode& parent = m_open.back();
        const bool isKey = parent.type == YamlType::Map && parent.keys.size() == parent.children.size();
        auto& siblings = isKey ? parent.keys : parent.children;
        siblings.push_back(std::move(node));
    }

    YamlNode m_root;
    std::vector<YamlNode> m_open;
    std::size_t m_count { 0 };
};

bool isForbiddenByte(char byte)
{
    const auto code = static_cast<unsigned char>(byte);
    return (code < 0x20 && byte != '\n' && byte != '\r' && byte != '\t') || code == 0x7f;
}

/// Line and column of the byte at `offset`.
Diagnostic diagnosticAt(const std::string& file, std::string_view text, std::size_t offset, std::string message)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
    const auto lastBreak = before.rfind('\n');
    const auto column = lastBreak == std::string_view::npos ? offset + 1 : offset - lastBreak;
    return { file, line, column, "", std::move(message) };
}

bool hasUsableBytes(const std::string& file, std::string_view text, Diagnostics& diagnostics)
{
    if (text.size() > maxDocumentBytes) {
        diagnostics.push_back({ file, 0, 0, "",
            "has " + std::to_string(text.size()) + " bytes, expected at most " + std::to_string(maxDocumentBytes) });
        return false;
    }
    const auto* const found = std::find_if(text.begin(), text.end(), isForbiddenByte);
    if (found == text.end())
        return true;
    const auto offset = static_cast<std::size_t>(found - text.begin());
    diagnostics.push_back(diagnosticAt(file, text, offset, "control character, expected text"));
    return false;
}

void reportDuplicateKeys(const std::string& file, const YamlNode& node, Diagnostics& diagnostics)
{
    std::set<std::string_view> seen;
    for (const YamlNode& key : node.keys) {
        if (key.type != YamlType::Scalar)
            diagnostics.push_back({ file, key.line, key.column, "", "a key must be plain text" });
        else if (!seen.insert(key.scalar).second)
            diagnostics.push_back({ file, key.line, key.column, key.scalar, "the key stands twice, expected it once" });
    }
    for (const YamlNode& child : node.children)
        reportDuplicateKeys(file, child, diagnostics);
}

std::size_t oneBased(int position) { return static_cast<std::size_t>(std::max(position, 0)) + 1; }

} // namespace

std::optional<YamlNode> parseYaml(const std::string& file, std::string_view text, Diagnostics& diagnostics)
{
    if (!hasUsableBytes(file, text, diagnostics))
        return std::nullopt;
    std::istringstream stream { std::string { text } };
    const auto reject = [&](const YAML::Mark& mark, const std::string& message) {
        diagnostics.push_back({ file, oneBased(mark.line), oneBased(mark.column), "", message });
        return std::nullopt;
    };
    try {
        YAML::Parser parser { stream };
        TreeBuilder builder;
        if (!parser.HandleNextDocument(builder))
            return reject({}, "empty, expected a map");
        TreeBuilder further;
        if (parser.HandleNextDocument(further))
            return reject({}, "more than one document, expected one");
        YamlNode root = builder.takeRoot();
        reportDuplicateKeys(file, root, diagnostics);
        return root;
    } catch (const ForbiddenYaml& forbidden) {
        return reject(forbidden.mark, forbidden.message);
    } catch (const YAML::Exception& error) {
        return reject(error.mark, error.msg);
    }
}

} // namespace rattanrack::config
