#include "rattanrack/policy/burn.h"

namespace rattanrack::policy {

namespace {

/// At this rate a budget of 30 days lasts about two.
constexpr double fastRate = 14.4;
constexpr double slowRate = 1;

/// Requests of some kinds, each with its weight.
struct WeightedCounts {
    double counted { 0 };
    double bad { 0 };
    double allowedBad { 0 };

    void add(const BurnObjective& objective, const BurnCounts& counts, double weight)
    {
        counted += weight * static_cast<double>(counts.counted);
        bad += weight * static_cast<double>(counts.bad());
        allowedBad += weight * static_cast<double>(counts.counted) * (1 - objective.target);
    }

    WindowBurn burn() const
    {
        if (counted <= 0)
            return {};
        return { counted, bad / counted, allowedBad > 0 ? bad / allowedBad : 0 };
    }
};

using CountsByWindow = std::array<BurnCounts, burnWindows.size()>;

double rateOf(const KindBurn& kind, BurnWindow window) { return kind.windows[static_cast<std::size_t>(window)].rate; }

/// The short window tells that it still burns, the long one that it matters.
BurnAlert alertOf(const KindBurn& kind)
{
    if (rateOf(kind, BurnWindow::FiveMinutes) > fastRate && rateOf(kind, BurnWindow::OneHour) > fastRate)
        return BurnAlert::Fast;
    if (rateOf(kind, BurnWindow::SixHours) > slowRate && rateOf(kind, BurnWindow::ThreeDays) > slowRate)
        return BurnAlert::Slow;
    return BurnAlert::None;
}

KindBurn burnOf(const BurnObjective& objective, const CountsByWindow& counts)
{
    KindBurn kind;
    kind.objective = objective;
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        WeightedCounts weighted;
        weighted.add(objective, counts[window], 1);
        kind.windows[window] = weighted.burn();
    }
    kind.budgetLeft = 1 - rateOf(kind, BurnWindow::ThreeDays);
    kind.alert = alertOf(kind);
    return kind;
}

} // namespace

FederationBurn assess(const std::vector<BurnObjective>& objectives, const std::vector<WindowCounts>& windows)
{
    std::map<std::pair<PoolId, WorkKind>, CountsByWindow> countsOfKind;
    for (const WindowCounts& each : windows)
        countsOfKind[{ each.series.pool, each.series.kind }][static_cast<std::size_t>(each.window)] += each.counts;
    FederationBurn burn;
    std::array<WeightedCounts, burnWindows.size()> all;
    for (const BurnObjective& objective : objectives) {
        const CountsByWindow& counts = countsOfKind[{ objective.pool, objective.kind }];
        burn.kinds.push_back(burnOf(objective, counts));
        for (std::size_t window = 0; window < burnWindows.size(); ++window)
            all[window].add(objective, counts[window], objective.weight);
    }
    for (std::size_t window = 0; window < burnWindows.size(); ++window)
        burn.windows[window] = all[window].burn();
    return burn;
}

} // namespace rattanrack::policy
