#include "config_commands.h"

#include "commands.h"

namespace rattanrack::cli {

namespace {

nlohmann::json diagnosticsJson(const config::Diagnostics& diagnostics)
{
    auto list = nlohmann::json::array();
    for (const config::Diagnostic& each : diagnostics)
        list.push_back({ { "file", each.file }, { "line", each.line }, { "column", each.column },
            { "path", each.keyPath }, { "message", each.message } });
    return list;
}

Outcome invalid(const config::Diagnostics& diagnostics)
{
    const auto count = std::to_string(diagnostics.size());
    return { ExitCode::CheckFailed, describe(diagnostics) + count + " mistakes\n",
        { { "valid", false }, { "diagnostics", diagnosticsJson(diagnostics) } } };
}

Result<config::Federation> readDocument(const std::string& path)
{
    BOOST_LEAF_AUTO(source, config::readSource(path));
    return config::load(source, {}).result("config.read_document");
}

/// What the changed files are compared with: a file when one is given, else what is in force.
Result<config::Federation> reference(Context& context)
{
    if (context.invocation.against)
        return readDocument(*context.invocation.against);
    BOOST_LEAF_AUTO(inForce, context.client.config());
    if (inForce.document.empty())
        return config::Federation {};
    return config::parse(inForce.document).result("config.parse_in_force");
}

std::string typeText(config::ChangeType type)
{
    switch (type) {
    case config::ChangeType::Added:
        return "added";
    case config::ChangeType::Removed:
        return "removed";
    case config::ChangeType::Modified:
        break;
    }
    return "modified";
}

} // namespace

Result<config::Checked<config::Federation>> loadFiles(const Invocation& invocation)
{
    BOOST_LEAF_AUTO(base, config::readSource(invocation.base));
    std::vector<config::SourceText> overlays;
    overlays.reserve(invocation.overlays.size());
    for (const std::string& path : invocation.overlays) {
        BOOST_LEAF_AUTO(overlay, config::readSource(path));
        overlays.push_back(std::move(overlay));
    }
    return config::load(base, overlays);
}

std::string changesText(const std::vector<config::Change>& changes)
{
    if (changes.empty())
        return "no changes\n";
    std::string text;
    for (const config::Change& change : changes)
        text += describe(change) + "\n";
    return text;
}

nlohmann::json changesJson(const std::vector<config::Change>& changes)
{
    auto list = nlohmann::json::array();
    for (const config::Change& change : changes)
        list.push_back({ { "type", typeText(change.type) }, { "path", change.path }, { "before", change.before },
            { "after", change.after } });
    return list;
}

Result<Outcome> validate(Context& context)
{
    BOOST_LEAF_AUTO(loaded, loadFiles(context.invocation));
    if (!loaded.isValid())
        return invalid(loaded.diagnostics());
    const config::Federation& federation = loaded.value();
    return Outcome { ExitCode::Success,
        "valid: federation " + federation.name + ", " + std::to_string(federation.pools.size()) + " pools, "
            + std::to_string(federation.sites.size()) + " sites\n",
        { { "valid", true }, { "diagnostics", nlohmann::json::array() } } };
}

Result<Outcome> merge(Context& context)
{
    BOOST_LEAF_AUTO(loaded, loadFiles(context.invocation));
    if (!loaded.isValid())
        return invalid(loaded.diagnostics());
    const std::string document = serialize(loaded.value());
    return Outcome { ExitCode::Success, document, { { "document", document } } };
}

Result<Outcome> compare(Context& context)
{
    BOOST_LEAF_AUTO(loaded, loadFiles(context.invocation));
    if (!loaded.isValid())
        return invalid(loaded.diagnostics());
    BOOST_LEAF_AUTO(before, reference(context));
    const auto changes = config::diff(before, loaded.value());
    return Outcome { ExitCode::Success, changesText(changes), { { "changes", changesJson(changes) } } };
}

} // namespace rattanrack::cli
