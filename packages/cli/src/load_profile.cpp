#include "load_profile.h"

#include "rattanrack/config/section.h"

#include <algorithm>
#include <array>

namespace rattanrack::cli {

namespace {

using config::Presence;
using config::Section;
using std::chrono::hours;
using std::chrono::milliseconds;

constexpr double maxArrivals = 2'000'000;
constexpr config::NumberRange shareRange { 0, 1 };
constexpr config::DurationRange timeRange { milliseconds { 1 }, hours { 24 } };
constexpr std::array<std::string_view, 3> urgencies { "urgent", "normal", "background" };

template <typename Id> void readId(Section& section, std::string_view key, Presence presence, Id& output)
{
    std::string name;
    section.readName(key, presence, name);
    output = Id { name };
}

void readUrgency(Section& section, std::string& output)
{
    const auto* const node = section.readScalar("urgency", Presence::Optional);
    if (!node)
        return;
    if (std::find(urgencies.begin(), urgencies.end(), node->scalar) == urgencies.end())
        section.report("urgency", "'" + node->scalar + "', expected one of: urgent, normal, background");
    else
        output = node->scalar;
}

void readFlag(Section& section, std::string_view key, bool& output)
{
    const auto* const node = section.readScalar(key, Presence::Optional);
    if (!node)
        return;
    if (node->scalar != "true" && node->scalar != "false")
        section.report(key, "'" + node->scalar + "', expected true or false");
    output = node->scalar == "true";
}

void readSize(Section& section, ResourceSize& output)
{
    constexpr std::uint64_t mebibyte = 1U << 20U;
    std::uint32_t millicores = 100;
    std::uint64_t memory = 64 * mebibyte;
    std::uint32_t accelerators = 0;
    section.readCount("millicores", Presence::Optional, { 1, 10'000'000 }, millicores);
    section.readBytes("memory", { mebibyte, mebibyte * mebibyte }, memory);
    section.readCount("accelerators", Presence::Optional, { 0, 1000 }, accelerators);
    output.processors = Millicores { millicores };
    output.memory = Mebibytes { static_cast<std::int64_t>(memory / mebibyte) };
    output.accelerators = Accelerators { accelerators };
}

RequestMix readMix(Section& section)
{
    RequestMix mix;
    readId(section, "kind", Presence::Required, mix.kind);
    readId(section, "pool", Presence::Required, mix.pool);
    readId(section, "team", Presence::Required, mix.team);
    section.readCount("callers", Presence::Optional, { 1, 100'000 }, mix.callers);
    readUrgency(section, mix.urgency);
    section.readNumber("weight", { 0, 1000, true }, mix.weight);
    section.readDuration("deadline", timeRange, mix.deadline);
    readSize(section, mix.size);
    section.readDuration("runTime", timeRange, mix.runTime);
    section.readNumber("trueRunTimeFactor", { 0, 1000, true }, mix.trueRunTimeFactor);
    readFlag(section, "repeatable", mix.isRepeatable);
    return mix;
}

void readBursts(Section& section, Bursts& bursts)
{
    section.readDuration("length", timeRange, bursts.length);
    section.readNumber("factor", { 1, 100 }, bursts.factor);
    section.readNumber("quietFactor", { 0, 1, true }, bursts.quietFactor);
}

void readCancellations(Section& section, Cancellations& cancellations)
{
    section.readNumber("share", shareRange, cancellations.share);
    section.readDuration("waveInterval", timeRange, cancellations.waveInterval);
    section.readNumber("waveShare", shareRange, cancellations.waveShare);
}

void readRepeats(Section& section, Repeats& repeats)
{
    section.readNumber("share", shareRange, repeats.share);
    section.readDuration("delay", timeRange, repeats.delay);
}

void readWorkerLogs(Section& section, std::vector<config::Address>& output)
{
    section.readScalars("workerLogs", [&](const config::YamlNode& node, const std::string& path) {
        if (const auto address = config::parseAddress(node.scalar))
            output.push_back(*address);
        else
            section.reportAt(node, path, "'" + node.scalar + "', expected an IP number and a port");
    });
}

LoadProfile readProfile(Section& top)
{
    LoadProfile profile;
    top.readDuration("duration", timeRange, profile.duration);
    top.readDuration("drainTime", timeRange, profile.drainTime);
    top.readNumber("ratePerSecond", { 0, 100'000, true }, profile.ratePerSecond);
    top.readCount("connections", Presence::Optional, { 1, 1024 }, profile.connections);
    top.readList("mix", Presence::Required, [&](Section& section) { profile.mix.push_back(readMix(section)); });
    top.readMap("bursts", Presence::Optional, [&](Section& section) { readBursts(section, profile.bursts); });
    top.readMap("cancellations", Presence::Optional,
        [&](Section& section) { readCancellations(section, profile.cancellations); });
    top.readMap("repeats", Presence::Optional, [&](Section& section) { readRepeats(section, profile.repeats); });
    readWorkerLogs(top, profile.workerLogs);
    const double seconds = std::chrono::duration<double> { profile.duration }.count();
    if (seconds * profile.ratePerSecond * profile.bursts.factor > maxArrivals)
        top.report("duration", "with ratePerSecond and bursts gives more than 2000000 requests, expected fewer");
    if (profile.mix.empty())
        top.report("mix", "is empty, expected at least one sort of request");
    top.reportUnknownKeys();
    return profile;
}

} // namespace

config::Checked<LoadProfile> parseLoadProfile(const std::string& name, std::string_view text)
{
    config::Diagnostics diagnostics;
    const auto root = config::parseYaml(name, text, diagnostics);
    if (root && root->type != config::YamlType::Map)
        diagnostics.push_back({ name, root->line, root->column, "", "expected a map" });
    if (!root || root->type != config::YamlType::Map)
        return config::Checked<LoadProfile>::invalid(std::move(diagnostics));
    Section top { name, *root, "", diagnostics };
    LoadProfile profile = readProfile(top);
    if (!diagnostics.empty())
        return config::Checked<LoadProfile>::invalid(std::move(diagnostics));
    return config::Checked<LoadProfile>::valid(std::move(profile));
}

} // namespace rattanrack::cli
