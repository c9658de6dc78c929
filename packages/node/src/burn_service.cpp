#include "rattanrack/node/burn_service.h"

#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

#include <nlohmann/json.hpp>

#include <array>

namespace rattanrack::node {

namespace {

using nlohmann::json;
using policy::BurnRow;
using policy::BurnRowKey;

constexpr Duration writeInterval = std::chrono::seconds { 5 };
constexpr std::size_t maxRows = 20'000;
constexpr std::size_t maxRemovals = 100; ///< In one transaction.
constexpr std::array<const char*, policy::urgencyCount> urgencyNames { "urgent", "normal", "background" };
const std::string rowPrefix = "burn/";

platform::Transaction removalOf(const std::vector<BurnRowKey>& keys)
{
    platform::Transaction transaction;
    for (const BurnRowKey& key : keys)
        transaction.writes.push_back({ policy::rowName(key), std::nullopt });
    return transaction;
}

std::vector<BurnRow> decodeRows(const platform::Rows& rows)
{
    std::vector<BurnRow> decoded;
    decoded.reserve(rows.size());
    for (const platform::Row& row : rows) {
        handle(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(burn, policy::decodeBurnRow(row.value));
                decoded.push_back(std::move(burn));
                return {};
            },
            [&](const Error& error) {
                logEvent(
                    "burn.unreadable_row", { { "row", row.key }, { "error", describe(error) } }, LogLevel::Warning);
            });
    }
    return decoded;
}

std::vector<BurnRowKey> expiredAmong(const std::vector<BurnRow>& rows, policy::WallTime now)
{
    std::vector<BurnRowKey> expired;
    for (const BurnRow& row : rows) {
        if (policy::isExpired(row.key, now) && expired.size() < maxRemovals)
            expired.push_back(row.key);
    }
    return expired;
}

json objectiveJson(const policy::BurnObjective& objective)
{
    json latency;
    for (std::size_t index = 0; index < urgencyNames.size(); ++index)
        latency[urgencyNames[index]] = milliseconds(objective.latency[index]);
    return { { "pool", objective.pool.value() }, { "kind", objective.kind.value() }, { "weight", objective.weight },
        { "target", objective.target }, { "latencyMs", latency } };
}

json windowJson(const policy::WindowCounts& window)
{
    return { { "pool", window.series.pool.value() }, { "kind", window.series.kind.value() },
        { "urgency", urgencyNames[static_cast<std::size_t>(window.series.urgency)] },
        { "window", policy::windowName(window.window) }, { "counted", window.counts.counted },
        { "good", window.counts.good } };
}

json hourJson(const policy::HourCounts& hour)
{
    return { { "pool", hour.pool.value() }, { "kind", hour.kind.value() }, { "startMs", hour.start.count() },
        { "counted", hour.counts.counted }, { "good", hour.counts.good } };
}

} // namespace

BurnService::BurnService(Parts parts)
    : m_parts(std::move(parts))
    , m_ledger(m_parts.self)
{
}

void BurnService::start() { scheduleWrite(); }

void BurnService::scheduleWrite()
{
    m_parts.control.at(Deadline::after(m_parts.clock.now(), writeInterval), [this] {
        scheduleWrite();
        writeDue();
    });
}

void BurnService::setObjectives(std::vector<policy::BurnObjective> objectives)
{
    m_objectives.clear();
    for (policy::BurnObjective& objective : objectives) {
        const WorkKind kind = objective.kind;
        m_objectives.emplace(kind, std::move(objective));
    }
}

void BurnService::count(const WorkKind& kind, policy::Urgency urgency, policy::BurnOutcome outcome, Duration latency)
{
    const auto objective = m_objectives.find(kind);
    if (objective == m_objectives.end())
        return;
    if (const auto isGood = policy::isGood(objective->second, urgency, outcome, latency))
        m_ledger.count({ objective->second.pool, kind, urgency }, *isGood, m_parts.wallClock());
}

void BurnService::writeDue()
{
    if (m_isWriting)
        return;
    const policy::WallTime now = m_parts.wallClock();
    const auto row = m_ledger.takeDueRow(now);
    if (!row)
        return;
    const auto expired = m_ledger.takeExpired(now);
    m_isWriting = m_parts.threads.submit([this, row = *row, expired] { commit(row, expired); });
    if (!m_isWriting)
        m_ledger.putBack(row->key);
}

/// Runs on a platform thread. A write that may not have taken effect is repeated; this is safe since the row's counts
/// only grow.
void BurnService::commit(const BurnRow& row, const std::vector<BurnRowKey>& expired)
{
    platform::Transaction transaction = removalOf(expired);
    transaction.writes.push_back({ policy::rowName(row.key), policy::encode(row) });
    const auto outcome = m_parts.table.commit(transaction);
    m_parts.control.post([this, key = row.key, status = outcome.status] {
        m_isWriting = false;
        if (status != platform::CommitStatus::Done)
            m_ledger.putBack(key);
    });
}

Result<std::string> BurnService::body()
{
    BOOST_LEAF_AUTO(stored, m_parts.table.scan(rowPrefix, 0, maxRows));
    if (stored.size() == maxRows)
        logEvent("burn.rows_cut_off", { { "rows", maxRows } }, LogLevel::Warning);
    const std::vector<BurnRow> rows = decodeRows(stored);
    const policy::WallTime now = m_parts.wallClock();
    const policy::BurnSummary summary = policy::summarize(rows, now);
    const auto expired = expiredAmong(rows, now);
    if (!expired.empty())
        (void)m_parts.table.commit(removalOf(expired)); // Rows that were not removed are left to the next reader.
    json body { { "nowMs", now.count() }, { "objectives", json::array() }, { "windows", json::array() },
        { "history", json::array() } };
    m_parts.control.run([&] {
        for (const auto& [kind, objective] : m_objectives)
            body["objectives"].push_back(objectiveJson(objective));
    });
    for (const policy::WindowCounts& window : summary.windows)
        body["windows"].push_back(windowJson(window));
    for (const policy::HourCounts& hour : summary.history)
        body["history"].push_back(hourJson(hour));
    return body.dump();
}

} // namespace rattanrack::node
