#include "rattanrack/config/diff.h"

#include "pool_section.h"
#include "quantity_text.h"

#include <map>

namespace rattanrack::config {

namespace {

/// Every value of a federation by its path. An empty value marks that a named thing exists.
using Values = std::map<std::string, std::string>;

void addLimits(Values& values, const std::string& path, const Pool& pool)
{
    for (const CountLimit& limit : countLimits)
        values[path + std::string { limit.key }] = std::to_string(pool.*limit.member);
    values[path + std::string { queuedMemoryKey }] = bytesText(pool.maxQueuedBytes);
    for (const ShareLimit& limit : shareLimits)
        values[path + std::string { limit.key }] = numberText(pool.*limit.member);
}

void addKind(Values& values, const std::string& path, const Kind& kind)
{
    values[path] = "";
    values[path + ".weight"] = numberText(kind.weight);
    values[path + ".floorShare"] = numberText(kind.floorShare);
    values[path + ".objective.target"] = numberText(kind.objective.target);
    values[path + ".objective.urgentLatency"] = durationText(kind.objective.urgentLatency);
    values[path + ".objective.normalLatency"] = durationText(kind.objective.normalLatency);
    values[path + ".objective.backgroundLatency"] = durationText(kind.objective.backgroundLatency);
}

void addPool(Values& values, const Pool& pool)
{
    const std::string path = "pools." + pool.id.value();
    values[path] = "";
    addLimits(values, path + ".", pool);
    for (const Kind& kind : pool.kinds)
        addKind(values, path + ".kinds." + kind.id.value(), kind);
}

void addSite(Values& values, const Site& site, const std::vector<Pool>& basePools)
{
    const std::string path = "sites." + site.dataCenter.value();
    values[path] = "";
    values[path + ".region"] = site.region.value();
    for (std::size_t index = 0; index < site.pools.size(); ++index) {
        // A pool that stands as in the base is shown there only.
        Values ofSite;
        Values ofBase;
        const std::string poolPath = path + ".pools." + site.pools[index].id.value() + ".";
        addLimits(ofSite, poolPath, site.pools[index]);
        addLimits(ofBase, poolPath, basePools[index]);
        for (const auto& [key, value] : ofSite) {
            if (ofBase[key] != value)
                values[key] = value;
        }
    }
}

Values valuesOf(const Federation& federation)
{
    Values values;
    values["federation"] = federation.name;
    values["weights.bufferCost"] = numberText(federation.weights.bufferCost);
    values["weights.rollOutTime"] = numberText(federation.weights.rollOutTime);
    values["weights.moves"] = numberText(federation.weights.moves);
    values["weights.floodService"] = numberText(federation.weights.floodService);
    values["sparePool"] = federation.sparePool.value();
    values["sharedBudget"] = std::to_string(federation.sharedBudget);
    for (const Team& team : federation.teams)
        values["teams." + team.id.value() + ".share"] = numberText(team.share);
    for (const Pool& pool : federation.pools)
        addPool(values, pool);
    for (const Site& site : federation.sites)
        addSite(values, site, federation.pools);
    return values;
}

} // namespace

std::string describe(const Change& change)
{
    switch (change.type) {
    case ChangeType::Added:
        return "+ " + change.path + (change.after.empty() ? "" : ": " + change.after);
    case ChangeType::Removed:
        return "- " + change.path + (change.before.empty() ? "" : ": " + change.before);
    case ChangeType::Modified:
        break;
    }
    return "~ " + change.path + ": " + change.before + " -> " + change.after;
}

std::vector<Change> diff(const Federation& before, const Federation& after)
{
    const Values old = valuesOf(before);
    const Values now = valuesOf(after);
    std::map<std::string, Change> changes;
    for (const auto& [path, value] : old) {
        const auto found = now.find(path);
        if (found == now.end())
            changes[path] = { ChangeType::Removed, path, value, "" };
        else if (found->second != value)
            changes[path] = { ChangeType::Modified, path, value, found->second };
    }
    for (const auto& [path, value] : now) {
        if (!old.contains(path))
            changes[path] = { ChangeType::Added, path, "", value };
    }
    std::vector<Change> ordered;
    ordered.reserve(changes.size());
    for (auto& [path, change] : changes)
        ordered.push_back(std::move(change));
    return ordered;
}

} // namespace rattanrack::config
