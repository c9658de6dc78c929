#include "rattanrack/policy/burn.h"

#include <algorithm>
#include <tuple>

namespace rattanrack::policy {

namespace {

struct WindowRule {
    BurnWindow window;
    std::string_view name;
    BurnTier tier;
    WallTime length;
};

constexpr std::array<WindowRule, burnWindows.size()> windowRules { {
    { BurnWindow::FiveMinutes, "5min", BurnTier::Minute, std::chrono::minutes { 5 } },
    { BurnWindow::OneHour, "1h", BurnTier::Minute, std::chrono::hours { 1 } },
    { BurnWindow::SixHours, "6h", BurnTier::Hour, std::chrono::hours { 6 } },
    { BurnWindow::ThreeDays, "3d", BurnTier::Hour, std::chrono::hours { 72 } },
} };

std::uint64_t totalOf(const BurnRow& row)
{
    std::uint64_t total = 0;
    for (const auto& [series, counts] : row.counts)
        total += counts.counted;
    return total;
}

/// The latest version of each row: a row only grows.
std::map<BurnRowKey, const BurnRow*> latestVersions(const std::vector<BurnRow>& rows)
{
    std::map<BurnRowKey, const BurnRow*> latest;
    for (const BurnRow& row : rows) {
        const BurnRow*& known = latest[row.key];
        if (!known || totalOf(row) > totalOf(*known))
            known = &row;
    }
    return latest;
}

bool isInside(const BurnRowKey& key, const WindowRule& rule, WallTime now)
{
    const WallTime running = now - now % bucketLength(rule.tier);
    return key.tier == rule.tier && key.start <= running && key.start >= running - rule.length;
}

} // namespace

std::string_view windowName(BurnWindow window) { return windowRules[static_cast<std::size_t>(window)].name; }

std::optional<BurnWindow> burnWindow(std::string_view name)
{
    for (const WindowRule& rule : windowRules) {
        if (rule.name == name)
            return rule.window;
    }
    return std::nullopt;
}

BurnSummary summarize(const std::vector<BurnRow>& rows, WallTime now)
{
    std::map<std::pair<BurnSeries, BurnWindow>, BurnCounts> windows;
    std::map<std::tuple<PoolId, WorkKind, WallTime>, BurnCounts> hours;
    for (const auto& [key, row] : latestVersions(rows)) {
        for (const WindowRule& rule : windowRules) {
            if (!isInside(key, rule, now))
                continue;
            for (const auto& [series, counts] : row->counts) {
                windows[{ series, rule.window }] += counts;
                if (rule.window == BurnWindow::ThreeDays)
                    hours[{ series.pool, series.kind, key.start }] += counts;
            }
        }
    }
    BurnSummary summary;
    for (const auto& [name, counts] : windows)
        summary.windows.push_back({ name.first, name.second, counts });
    for (const auto& [name, counts] : hours)
        summary.history.push_back({ std::get<0>(name), std::get<1>(name), std::get<2>(name), counts });
    return summary;
}

} // namespace rattanrack::policy
