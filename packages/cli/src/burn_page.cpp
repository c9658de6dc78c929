#include "burn_report.h"

#include "plot.h"

#include <map>
#include <set>

namespace rattanrack::cli {

namespace {

constexpr double hoursShown = 72;
constexpr double hoursBetweenTicks = 12;

std::string rateBars(const BurnReport& report, policy::BurnWindow window)
{
    BarPlot plot { "Burn rate over " + std::string { windowName(window) } + " (line: all of the budget used)", "x",
        {} };
    for (const policy::KindBurn& kind : report.burn.kinds) {
        const policy::WindowBurn& burn = kind.windows[static_cast<std::size_t>(window)];
        plot.bars.push_back({ kind.objective.pool.value() + " / " + kind.objective.kind.value(), burn.rate, 1 });
    }
    return svg(plot);
}

/// Hours since the oldest that is shown, so that every plot has the same axis.
double hourOf(const BurnReport& report, policy::WallTime start)
{
    const policy::WallTime age = report.message.now - start;
    return hoursShown - std::chrono::duration<double, std::ratio<3600>> { age }.count();
}

/// Bad requests of a kind up to each hour, in parts of what its budget allows over the whole span.
PlotSeries budgetUsed(const BurnReport& report, const policy::BurnObjective& objective)
{
    PlotSeries series { objective.kind.value(), {} };
    policy::BurnCounts all;
    for (const policy::HourCounts& hour : report.message.summary.history)
        all += hour.pool == objective.pool && hour.kind == objective.kind ? hour.counts : policy::BurnCounts {};
    const double allowed = static_cast<double>(all.counted) * (1 - objective.target);
    double bad = 0;
    for (const policy::HourCounts& hour : report.message.summary.history) {
        if (hour.pool != objective.pool || hour.kind != objective.kind || hourOf(report, hour.start) < 0)
            continue;
        bad += static_cast<double>(hour.counts.bad());
        series.points.push_back({ hourOf(report, hour.start), allowed > 0 ? 100 * bad / allowed : 0 });
    }
    return series;
}

std::string poolPlot(const BurnReport& report, const PoolId& pool)
{
    LinePlot plot { "Pool " + pool.value() + ": error budget used", "hours, 72 is now",
        "per cent of three days' budget", {}, hoursBetweenTicks };
    for (const policy::BurnObjective& objective : report.message.objectives) {
        if (objective.pool == pool)
            plot.series.push_back(budgetUsed(report, objective));
    }
    return svg(plot);
}

std::string poolPlots(const BurnReport& report)
{
    std::string text;
    std::set<PoolId> seen;
    for (const policy::BurnObjective& objective : report.message.objectives) {
        if (seen.insert(objective.pool).second)
            text += poolPlot(report, objective.pool);
    }
    return text;
}

std::string measuresPart(const BurnReport& report)
{
    if (report.measures.empty())
        return "";
    std::string text = "<h2>Measures</h2>\n" + htmlTable(measureRows(report));
    for (const Measure& measure : report.measures) {
        BarPlot plot { measure.name + " " + measure.user + " " + measure.policy, measure.unit,
            { { "measured", measure.value, 0 } } };
        if (measure.baseline)
            plot.bars.push_back({ "baseline", *measure.baseline, 0 });
        if (measure.bound)
            plot.bars.push_back({ "bound", *measure.bound, 0 });
        text += svg(plot);
    }
    return text;
}

} // namespace

std::string reportPage(const BurnReport& report)
{
    return htmlPage("Service-level burn",
        "<h2>Now</h2>\n" + htmlTable(burnRows(report)) + rateBars(report, policy::BurnWindow::OneHour)
            + rateBars(report, policy::BurnWindow::ThreeDays) + "<h2>Three days</h2>\n" + poolPlots(report)
            + measuresPart(report));
}

} // namespace rattanrack::cli
