#include "pool_section.h"

#include "quantity_text.h"

#include <initializer_list>

namespace rattanrack::config {

namespace {

constexpr NumberRange weightRange { 0, 1000, true };
constexpr DurationRange latencyRange { std::chrono::milliseconds { 1 }, std::chrono::hours { 24 * 7 } };

std::string workersText(const Pool& pool) { return "the pool's " + std::to_string(pool.workers) + " workers"; }

/// Reports at the first of `keys` that the section sets: a site that sets none of them did not make the mistake.
void reportAtFirst(Section& section, std::initializer_list<std::string_view> keys, const std::string& message)
{
    for (const std::string_view key : keys) {
        if (!section.has(key))
            continue;
        section.report(key, message);
        return;
    }
}

void checkFloor(Section& section, const Pool& pool)
{
    if (pool.minAvailable > pool.workers) {
        reportAtFirst(section, { "minAvailable", "workers" },
            "minAvailable " + std::to_string(pool.minAvailable) + " is more than " + workersText(pool));
        return;
    }
    const std::uint32_t aboveFloor = pool.workers - pool.minAvailable;
    if (pool.maxPlannedDown > aboveFloor)
        reportAtFirst(section, { "maxPlannedDown", "minAvailable", "workers" },
            "minAvailable " + std::to_string(pool.minAvailable) + " and maxPlannedDown "
                + std::to_string(pool.maxPlannedDown) + " together are more than " + workersText(pool));
    if (pool.mayLend > aboveFloor)
        reportAtFirst(section, { "mayLend", "minAvailable", "workers" },
            "mayLend " + std::to_string(pool.mayLend) + " is more than the " + std::to_string(aboveFloor)
                + " workers above minAvailable");
}

void readObjective(Section& section, Objective& objective)
{
    section.readNumber("target", { 0, 0.99999, true }, objective.target);
    section.readDuration("urgentLatency", latencyRange, objective.urgentLatency);
    section.readDuration("normalLatency", latencyRange, objective.normalLatency);
    section.readDuration("backgroundLatency", latencyRange, objective.backgroundLatency);
    if (objective.urgentLatency > objective.normalLatency || objective.normalLatency > objective.backgroundLatency)
        section.report("",
            "expected urgentLatency <= normalLatency <= backgroundLatency, found "
                + durationText(objective.urgentLatency) + ", " + durationText(objective.normalLatency) + ", "
                + durationText(objective.backgroundLatency));
}

Kind readKind(Section& section)
{
    Kind kind;
    std::string name;
    section.readName("name", Presence::Required, name);
    kind.id = WorkKind { name };
    section.readNumber("weight", weightRange, kind.weight);
    section.readNumber("floorShare", shareRange, kind.floorShare);
    section.readMap(
        "objective", Presence::Optional, [&](Section& objective) { readObjective(objective, kind.objective); });
    return kind;
}

void checkFloorShares(Section& section, const Pool& pool)
{
    // Ten shares of 0.1 add up to slightly more than 1 in binary arithmetic.
    constexpr double rounding = 1e-9;
    double sum = 0;
    for (const Kind& kind : pool.kinds)
        sum += kind.floorShare;
    if (sum > 1 + rounding)
        section.report("kinds", "the floorShare of all kinds adds up to " + numberText(sum) + ", expected at most 1");
}

} // namespace

void readLimits(Section& section, Presence workersPresence, Pool& pool)
{
    for (const CountLimit& limit : countLimits) {
        const bool isWorkers = limit.member == &Pool::workers;
        section.readCount(limit.key, isWorkers ? workersPresence : Presence::Optional, limit.range, pool.*limit.member);
    }
    section.readBytes(queuedMemoryKey, queuedMemoryRange, pool.maxQueuedBytes);
    for (const ShareLimit& limit : shareLimits)
        section.readNumber(limit.key, shareRange, pool.*limit.member);
    if (pool.workers > 0)
        checkFloor(section, pool);
}

Pool readPool(Section& section)
{
    Pool pool;
    std::string name;
    section.readName("name", Presence::Required, name);
    pool.id = PoolId { name };
    readLimits(section, Presence::Required, pool);
    section.readList("kinds", Presence::Required, [&](Section& kind) { pool.kinds.push_back(readKind(kind)); });
    checkFloorShares(section, pool);
    return pool;
}

} // namespace rattanrack::config
