#include "burn_report.h"

#include "plot.h"
#include "text_table.h"

namespace rattanrack::cli {

namespace {

std::string optionalText(const std::optional<double>& number) { return number ? shortNumber(*number) : "-"; }

std::string percent(double share) { return shortNumber(share * 100, 3) + " %"; }

std::string rateText(const policy::WindowBurn& burn) { return burn.counted > 0 ? shortNumber(burn.rate, 3) : "-"; }

nlohmann::json windowsJson(const std::array<policy::WindowBurn, policy::burnWindows.size()>& windows)
{
    nlohmann::json json;
    for (const policy::BurnWindow window : policy::burnWindows) {
        const policy::WindowBurn& burn = windows[static_cast<std::size_t>(window)];
        json[std::string { windowName(window) }]
            = { { "counted", burn.counted }, { "badShare", burn.badShare }, { "rate", burn.rate } };
    }
    return json;
}

nlohmann::json measureJson(const Measure& measure)
{
    nlohmann::json json { { "measure", measure.name }, { "user", measure.user }, { "policy", measure.policy },
        { "unit", measure.unit }, { "value", measure.value }, { "verdict", measure.verdict } };
    if (measure.baseline)
        json["baseline"] = *measure.baseline;
    if (measure.bound)
        json["bound"] = *measure.bound;
    return json;
}

std::string tableText(const std::vector<std::vector<std::string>>& rows)
{
    TextTable table { rows.front() };
    for (std::size_t index = 1; index < rows.size(); ++index)
        table.add(rows[index]);
    return table.text();
}

} // namespace

std::string_view alertName(policy::BurnAlert alert)
{
    switch (alert) {
    case policy::BurnAlert::None:
        return "none";
    case policy::BurnAlert::Slow:
        return "slow";
    case policy::BurnAlert::Fast:
        break;
    }
    return "fast";
}

std::vector<std::vector<std::string>> burnRows(const BurnReport& report)
{
    std::vector<std::vector<std::string>> rows { { "POOL", "KIND", "TARGET", "BURN 5min", "BURN 1h", "BURN 6h",
        "BURN 3d", "BUDGET LEFT", "ALERT" } };
    for (const policy::KindBurn& kind : report.burn.kinds) {
        std::vector<std::string> row { kind.objective.pool.value(), kind.objective.kind.value(),
            shortNumber(kind.objective.target * 100, 6) + " %" };
        for (const policy::WindowBurn& window : kind.windows)
            row.push_back(rateText(window));
        row.push_back(percent(kind.budgetLeft));
        row.emplace_back(alertName(kind.alert));
        rows.push_back(std::move(row));
    }
    std::vector<std::string> total { "all", "weighted", "-" };
    for (const policy::WindowBurn& window : report.burn.windows)
        total.push_back(rateText(window));
    total.insert(total.end(), { "-", "-" });
    rows.push_back(std::move(total));
    return rows;
}

std::vector<std::vector<std::string>> measureRows(const BurnReport& report)
{
    std::vector<std::vector<std::string>> rows { { "MEASURE", "USER", "POLICY", "VALUE", "UNIT", "BASELINE", "BOUND",
        "VERDICT" } };
    for (const Measure& each : report.measures)
        rows.push_back({ each.name, each.user, each.policy, shortNumber(each.value), each.unit,
            optionalText(each.baseline), optionalText(each.bound), each.verdict });
    return rows;
}

std::string reportText(const BurnReport& report)
{
    std::string text = tableText(burnRows(report));
    if (!report.measures.empty())
        text += "\n" + tableText(measureRows(report));
    return text;
}

nlohmann::json reportJson(const BurnReport& report)
{
    auto kinds = nlohmann::json::array();
    for (const policy::KindBurn& kind : report.burn.kinds)
        kinds.push_back({ { "pool", kind.objective.pool.value() }, { "kind", kind.objective.kind.value() },
            { "target", kind.objective.target }, { "weight", kind.objective.weight },
            { "windows", windowsJson(kind.windows) }, { "budgetLeft", kind.budgetLeft },
            { "alert", alertName(kind.alert) } });
    auto measures = nlohmann::json::array();
    for (const Measure& measure : report.measures)
        measures.push_back(measureJson(measure));
    return { { "nowMs", report.message.now.count() }, { "kinds", kinds },
        { "federation", windowsJson(report.burn.windows) }, { "measures", measures } };
}

} // namespace rattanrack::cli
