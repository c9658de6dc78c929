#include "settings_readers.h"

#include <array>

namespace rattanrack::config {

namespace {

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

} // namespace

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

} // namespace rattanrack::config
