#include "rattanrack/config/node_settings.h"

#include "read_file.h"
#include "settings_readers.h"

namespace rattanrack::config {

namespace {

constexpr CountRange threadRange { 1, 1024 };
constexpr CountRange connectionRange { 1, 65536 };
constexpr std::size_t maxSeedPeers = 64;

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
    return parseSettings<NodeSettings>(name, text, readSettings);
}

Result<NodeSettings> loadNodeSettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path, maxDocumentBytes));
    return parseNodeSettings(path, text).result("config.load_node_settings");
}

} // namespace rattanrack::config
