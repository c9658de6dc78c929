#include "rattanrack/config/node_settings.h"

#include "rattanrack/config/section.h"
#include "read_file.h"

#include <array>

namespace rattanrack::config {

namespace {

constexpr CountRange threadRange { 1, 1024 };
constexpr CountRange connectionRange { 1, 65536 };
constexpr std::size_t maxSeedPeers = 64;

struct LevelName {
    std::string_view name;
    LogLevel level;
};
constexpr std::array<LevelName, 4> levelNames { {
    { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },
    { "warning", LogLevel::Warning },
    { "error", LogLevel::Error },
} };

std::string notAnAddress(const YamlNode& node)
{
    return "'" + node.scalar + "' is not an address, expected an IP number and a port, such as 10.0.0.1:8080";
}

void readAddress(Section& section, std::string_view key, Address& output)
{
    const YamlNode* const node = section.readScalar(key, Presence::Required);
    if (!node)
        return;
    if (const auto address = parseAddress(node->scalar))
        output = *address;
    else
        section.report(key, notAnAddress(*node));
}

void readLogLevel(Section& section, LogLevel& output)
{
    const YamlNode* const node = section.readScalar("logLevel", Presence::Optional);
    if (!node)
        return;
    for (const LevelName& each : levelNames) {
        if (each.name != node->scalar)
            continue;
        output = each.level;
        return;
    }
    section.report("logLevel", "'" + node->scalar + "', expected one of: debug, info, warning, error");
}

void readSeedPeers(Section& section, std::vector<Address>& output)
{
    section.readScalars("seedPeers", [&](const YamlNode& node, const std::string& path) {
        if (const auto address = parseAddress(node.scalar))
            output.push_back(*address);
        else
            section.reportAt(node, path, notAnAddress(node));
    });
    if (output.size() > maxSeedPeers)
        section.report("seedPeers", "expected at most " + std::to_string(maxSeedPeers) + " addresses");
}

void readPlatform(Section& section, PlatformAddresses& output)
{
    readAddress(section, "table", output.table);
    readAddress(section, "objectStore", output.objectStore);
    readAddress(section, "vmList", output.vmList);
}

void readThreads(Section& section, ThreadCounts& output)
{
    section.readCount("callers", Presence::Optional, threadRange, output.callers);
    section.readCount("workers", Presence::Optional, threadRange, output.workers);
    section.readCount("platform", Presence::Optional, threadRange, output.platform);
}

void readConnections(Section& section, ConnectionLimits& output)
{
    section.readCount("callers", Presence::Optional, connectionRange, output.callers);
    section.readCount("perWorker", Presence::Optional, connectionRange, output.perWorker);
}

NodeSettings readSettings(Section& top)
{
    NodeSettings settings;
    std::string dataCenter;
    std::string region;
    top.readName("node", Presence::Required, settings.name);
    readAddress(top, "listen", settings.listen);
    readAddress(top, "peerListen", settings.peerListen);
    if (settings.listen.port != 0 && settings.listen == settings.peerListen)
        top.report("peerListen", "is the same address as listen, expected another");
    top.readName("dataCenter", Presence::Required, dataCenter);
    top.readName("region", Presence::Required, region);
    settings.dataCenter = DataCenterId { dataCenter };
    settings.region = RegionId { region };
    top.readMap("platform", Presence::Required, [&](Section& section) { readPlatform(section, settings.platform); });
    readSeedPeers(top, settings.seedPeers);
    top.readMap("threads", Presence::Optional, [&](Section& section) { readThreads(section, settings.threads); });
    top.readMap(
        "connections", Presence::Optional, [&](Section& section) { readConnections(section, settings.connections); });
    readLogLevel(top, settings.logLevel);
    top.reportUnknownKeys();
    return settings;
}

} // namespace

Checked<NodeSettings> parseNodeSettings(const std::string& name, std::string_view text)
{
    Diagnostics diagnostics;
    const auto root = parseYaml(name, text, diagnostics);
    if (root && root->type != YamlType::Map)
        diagnostics.push_back({ name, root->line, root->column, "", "expected a map" });
    if (!root || root->type != YamlType::Map)
        return Checked<NodeSettings>::invalid(std::move(diagnostics));
    Section top { name, *root, "", diagnostics };
    NodeSettings settings = readSettings(top);
    if (!diagnostics.empty())
        return Checked<NodeSettings>::invalid(std::move(diagnostics));
    return Checked<NodeSettings>::valid(std::move(settings));
}

Result<NodeSettings> loadNodeSettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path, maxDocumentBytes));
    return parseNodeSettings(path, text).result("config.load_node_settings");
}

} // namespace rattanrack::config
