#include "federation_reader.h"

#include "pool_section.h"

#include <algorithm>

namespace rattanrack::config {

namespace {

constexpr NumberRange weightRange { 0, 1000 };
constexpr NumberRange teamShareRange { 0, 1000, true };

void readWeights(Section& section, MeasureWeights& weights)
{
    section.readNumber("bufferCost", weightRange, weights.bufferCost);
    section.readNumber("rollOutTime", weightRange, weights.rollOutTime);
    section.readNumber("moves", weightRange, weights.moves);
    section.readNumber("floodService", weightRange, weights.floodService);
}

bool isMap(const std::string& file, const YamlNode& root, Diagnostics& diagnostics)
{
    if (root.type == YamlType::Map)
        return true;
    diagnostics.push_back({ file, root.line, root.column, "", "expected a map" });
    return false;
}

} // namespace

void FederationReader::readBase(const std::string& file, const YamlNode& root)
{
    if (!isMap(file, root, m_diagnostics))
        return;
    Section top { file, root, "", m_diagnostics };
    readTop(top);
    top.reportUnknownKeys();
}

void FederationReader::readTop(Section& top)
{
    std::string sparePool;
    top.readName("federation", Presence::Required, m_federation.name);
    top.readMap("weights", Presence::Optional, [&](Section& section) { readWeights(section, m_federation.weights); });
    top.readName("sparePool", Presence::Required, sparePool);
    m_federation.sparePool = PoolId { sparePool };
    const auto mistakesBefore = m_diagnostics.size();
    top.readCount("sharedBudget", Presence::Optional, { 0, maxWorkers }, m_federation.sharedBudget);
    m_isBudgetRead = m_diagnostics.size() == mistakesBefore;
    top.readList("teams", Presence::Optional, [&](Section& section) { readTeam(section); });
    top.readList("pools", Presence::Required, [&](Section& section) { readPoolDefinition(section); });
    top.readList("sites", Presence::Required, [&](Section& section) { readSite(section); });
    // Sums over pools that were not read whole would only add noise.
    if (m_diagnostics.size() == mistakesBefore)
        checkBorrowing(top);
}

void FederationReader::readTeam(Section& section)
{
    Team team;
    std::string name;
    section.readName("name", Presence::Required, name);
    section.readNumber("share", teamShareRange, team.share);
    reportDuplicate(section, "name", "team", name);
    team.id = TeamId { name };
    m_federation.teams.push_back(std::move(team));
}

void FederationReader::readPoolDefinition(Section& section)
{
    Pool pool = readPool(section);
    reportDuplicate(section, "name", "pool", pool.id.value());
    checkKinds(section, pool);
    checkMayBorrow(section, pool);
    m_federation.pools.push_back(std::move(pool));
}

void FederationReader::checkKinds(Section& section, const Pool& pool)
{
    for (const Kind& kind : pool.kinds) {
        if (kind.id.isEmpty())
            continue;
        const auto [found, isNew] = m_poolOfKind.emplace(kind.id, pool.id);
        if (!isNew)
            section.report("kinds",
                "kind '" + kind.id.value() + "' belongs to pool '" + found->second.value()
                    + "' already, expected one pool for each kind");
    }
}

void FederationReader::checkMayBorrow(Section& section, const Pool& pool)
{
    if (section.has("mayBorrow") && m_isBudgetRead && pool.mayBorrow > m_federation.sharedBudget)
        section.report("mayBorrow",
            std::to_string(pool.mayBorrow) + " is more than sharedBudget, "
                + std::to_string(m_federation.sharedBudget));
}

void FederationReader::readSite(Section& section)
{
    Site site;
    std::string dataCenter;
    std::string region;
    section.readName("dataCenter", Presence::Required, dataCenter);
    section.readName("region", Presence::Required, region);
    reportDuplicate(section, "dataCenter", "data centre", dataCenter);
    site.dataCenter = DataCenterId { dataCenter };
    site.region = RegionId { region };
    site.pools = m_federation.pools;
    readSitePools(section, site);
    m_federation.sites.push_back(std::move(site));
}

void FederationReader::readSitePools(Section& section, Site& site)
{
    m_adjusted.clear();
    section.readList("pools", Presence::Optional, [&](Section& pool) { readSitePool(pool, site); });
}

void FederationReader::readSitePool(Section& section, Site& site)
{
    std::string name;
    section.readName("name", Presence::Required, name);
    const auto pool
        = std::find_if(site.pools.begin(), site.pools.end(), [&](const Pool& each) { return each.id.value() == name; });
    if (pool == site.pools.end()) {
        Pool discarded;
        discarded.workers = static_cast<std::uint32_t>(maxWorkers);
        readLimits(section, Presence::Optional, discarded);
        if (!name.empty())
            section.report("name", "pool '" + name + "' is not in the base, expected one that is");
        return;
    }
    if (!m_adjusted.insert(name).second)
        section.report("name", "pool '" + name + "' is adjusted twice, expected it once");
    readLimits(section, Presence::Optional, *pool);
    checkMayBorrow(section, *pool);
}

void FederationReader::readOverlay(const std::string& file, const YamlNode& root)
{
    if (!isMap(file, root, m_diagnostics))
        return;
    Section top { file, root, "", m_diagnostics };
    std::string name;
    top.readName("site", Presence::Required, name);
    const auto site = std::find_if(m_federation.sites.begin(), m_federation.sites.end(),
        [&](const Site& each) { return each.dataCenter.value() == name; });
    if (site == m_federation.sites.end()) {
        if (!name.empty())
            top.report("site", "site '" + name + "' is not in the base, expected one that is");
        return;
    }
    const auto [found, isFirst] = m_overlayOfSite.emplace(site->dataCenter, file);
    if (!isFirst)
        top.report("site", "site '" + name + "' has the overlay " + found->second + " already, expected one");
    readSitePools(top, *site);
    top.reportUnknownKeys();
}

void FederationReader::checkBorrowing(Section& top)
{
    const auto isSpare = [&](const Pool& pool) { return pool.id == m_federation.sparePool; };
    const bool hasSpare = std::any_of(m_federation.pools.begin(), m_federation.pools.end(), isSpare);
    if (!hasSpare && !m_federation.sparePool.isEmpty())
        top.report("sparePool", "pool '" + m_federation.sparePool.value() + "' is not defined, expected one of pools");
    std::uint64_t lendable = 0;
    for (const Pool& pool : m_federation.pools)
        lendable += pool.mayLend;
    if (m_federation.sharedBudget > lendable)
        top.report("sharedBudget",
            std::to_string(m_federation.sharedBudget) + " is more than all pools may lend together, "
                + std::to_string(lendable));
}

void FederationReader::reportDuplicate(
    Section& section, std::string_view key, const std::string& kind, const std::string& name)
{
    if (!name.empty() && !m_names.insert(kind + " " + name).second)
        section.report(key, kind + " '" + name + "' is defined twice, expected it once");
}

} // namespace rattanrack::config
