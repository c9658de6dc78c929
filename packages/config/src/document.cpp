#include "pool_section.h"
#include "quantity_text.h"

#include "rattanrack/config/load.h"

namespace rattanrack::config {

namespace {

/// Writes `key: value` lines. Every text in a federation is a checked name, so that nothing needs quotes.
class DocumentWriter {
public:
    void line(std::size_t indent, std::string_view key, const std::string& value)
    {
        m_text.append(indent, ' ');
        m_text.append(key);
        m_text += value.empty() ? ":" : ": ";
        m_text += value + "\n";
    }

    std::string take() { return std::move(m_text); }

private:
    std::string m_text;
};

constexpr std::size_t poolIndent = 4;
constexpr std::size_t sitePoolIndent = 8;

/// Limits of `pool`; only those that differ from `base` when there is one.
void writeLimits(DocumentWriter& out, std::size_t indent, const Pool& pool, const Pool* base)
{
    for (const CountLimit& limit : countLimits) {
        if (!base || base->*limit.member != pool.*limit.member)
            out.line(indent, limit.key, std::to_string(pool.*limit.member));
    }
    if (!base || base->maxQueuedBytes != pool.maxQueuedBytes)
        out.line(indent, queuedMemoryKey, bytesText(pool.maxQueuedBytes));
    for (const ShareLimit& limit : shareLimits) {
        if (!base || base->*limit.member != pool.*limit.member)
            out.line(indent, limit.key, numberText(pool.*limit.member));
    }
}

void writeKind(DocumentWriter& out, const Kind& kind)
{
    constexpr std::size_t indent = 8;
    out.line(indent - 2, "- name", kind.id.value());
    out.line(indent, "weight", numberText(kind.weight));
    out.line(indent, "floorShare", numberText(kind.floorShare));
    out.line(indent, "objective", "");
    out.line(indent + 2, "target", numberText(kind.objective.target));
    out.line(indent + 2, "urgentLatency", durationText(kind.objective.urgentLatency));
    out.line(indent + 2, "normalLatency", durationText(kind.objective.normalLatency));
    out.line(indent + 2, "backgroundLatency", durationText(kind.objective.backgroundLatency));
}

void writePool(DocumentWriter& out, const Pool& pool)
{
    out.line(poolIndent - 2, "- name", pool.id.value());
    writeLimits(out, poolIndent, pool, nullptr);
    out.line(poolIndent, "kinds", pool.kinds.empty() ? "[]" : "");
    for (const Kind& kind : pool.kinds)
        writeKind(out, kind);
}

void writeSite(DocumentWriter& out, const Site& site, const std::vector<Pool>& basePools)
{
    out.line(2, "- dataCenter", site.dataCenter.value());
    out.line(4, "region", site.region.value());
    bool hasPools = false;
    for (std::size_t index = 0; index < site.pools.size(); ++index) {
        if (site.pools[index] == basePools[index])
            continue;
        if (!hasPools)
            out.line(4, "pools", "");
        hasPools = true;
        out.line(sitePoolIndent - 2, "- name", site.pools[index].id.value());
        writeLimits(out, sitePoolIndent, site.pools[index], &basePools[index]);
    }
}

void writeTop(DocumentWriter& out, const Federation& federation)
{
    out.line(0, "federation", federation.name);
    out.line(0, "weights", "");
    out.line(2, "bufferCost", numberText(federation.weights.bufferCost));
    out.line(2, "rollOutTime", numberText(federation.weights.rollOutTime));
    out.line(2, "moves", numberText(federation.weights.moves));
    out.line(2, "floodService", numberText(federation.weights.floodService));
    out.line(0, "sparePool", federation.sparePool.value());
    out.line(0, "sharedBudget", std::to_string(federation.sharedBudget));
}

} // namespace

std::string serialize(const Federation& federation)
{
    DocumentWriter out;
    writeTop(out, federation);
    out.line(0, "teams", federation.teams.empty() ? "[]" : "");
    for (const Team& team : federation.teams) {
        out.line(2, "- name", team.id.value());
        out.line(4, "share", numberText(team.share));
    }
    out.line(0, "pools", federation.pools.empty() ? "[]" : "");
    for (const Pool& pool : federation.pools)
        writePool(out, pool);
    out.line(0, "sites", federation.sites.empty() ? "[]" : "");
    for (const Site& site : federation.sites)
        writeSite(out, site, federation.pools);
    return out.take();
}

} // namespace rattanrack::config
