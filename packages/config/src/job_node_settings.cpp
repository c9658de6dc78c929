#include "rattanrack/config/job_node_settings.h"

#include "read_file.h"
#include "settings_readers.h"

namespace rattanrack::config {

namespace {

using namespace std::chrono_literals;

constexpr DurationRange leaseRange { 1s, 60s };
constexpr DurationRange keepRange { 1s, 24h };
constexpr DurationRange stopRange { 1ms, 60s };
constexpr DurationRange drainRange { 1s, 60s };
constexpr DurationRange graceRange { 1s, 600s };
constexpr DurationRange configurationRange { 100ms, 60s };
constexpr NumberRange shareRange { 0, 1, true };
constexpr NumberRange coresRange { 0, 1024, true };

void readOptionalAddress(Section& section, std::string_view key, std::optional<Address>& output)
{
    if (!section.has(key))
        return;
    Address address;
    readAddress(section, key, address);
    output = address;
}

JobNodeFile readJobNode(Section& top)
{
    JobNodeFile settings;
    top.readName("node", Presence::Required, settings.name);
    readAddress(top, "listen", settings.listen);
    readAddress(top, "readiness", settings.readiness);
    readAddress(top, "peerListen", settings.peerListen);
    readOptionalAddress(top, "peerAnnounce", settings.peerAnnounce);
    readAddress(top, "store", settings.store);
    readAddress(top, "machineList", settings.machineList);
    readOptionalAddress(top, "advice", settings.advice);
    top.readDuration("longestLease", leaseRange, settings.longestLease);
    top.readDuration("keepEnded", keepRange, settings.keepEnded);
    top.readDuration("longestStop", stopRange, settings.longestStop);
    top.readDuration("drainBound", drainRange, settings.drainBound);
    top.readDuration("configurationBound", configurationRange, settings.configurationBound);
    top.readDuration("stopGrace", graceRange, settings.stopGrace);
    top.readNumber("processorShare", shareRange, settings.processorShare);
    top.readNumber("processorCores", coresRange, settings.processorCores);
    readLogLevel(top, settings.logLevel);
    top.reportUnknownKeys();
    return settings;
}

} // namespace

Checked<JobNodeFile> parseJobNodeFile(const std::string& name, std::string_view text)
{
    return parseSettings<JobNodeFile>(name, text, readJobNode);
}

Result<JobNodeFile> loadJobNodeFile(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readFile(path, maxDocumentBytes));
    return parseJobNodeFile(path, text).result("config.load_job_node_settings");
}

} // namespace rattanrack::config
