#include "load_report.h"

#include "plot.h"

#include <algorithm>
#include <map>

namespace rattanrack::cli {

namespace {

constexpr Duration slice = std::chrono::seconds { 1 };

struct SliceCounts {
    double calls { 0 };
    double answered { 0 };
    double notRun { 0 };
};

std::vector<SliceCounts> countSlices(const LoadPlan& plan, const std::vector<CallRecord>& records)
{
    std::vector<SliceCounts> slices;
    for (const CallRecord& record : records) {
        const auto index = static_cast<std::size_t>(plan.calls[record.call].at / slice);
        slices.resize(std::max(slices.size(), index + 1));
        SliceCounts& counts = slices[index];
        ++counts.calls;
        counts.answered += record.answer == CallAnswer::Done || record.answer == CallAnswer::Failed ? 1 : 0;
        counts.notRun += record.answer == CallAnswer::NotRun ? 1 : 0;
    }
    return slices;
}

PlotSeries seriesOf(const std::string& name, const std::vector<SliceCounts>& slices, double SliceCounts::*member)
{
    PlotSeries series { name, {} };
    for (std::size_t index = 0; index < slices.size(); ++index)
        series.points.push_back({ static_cast<double>(index), slices[index].*member });
    return series;
}

/// Longest latency of each kind in each second of the run.
std::vector<PlotSeries> latencySeries(
    const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records)
{
    std::map<std::string, std::map<double, double>> longest;
    for (const CallRecord& record : records) {
        if (record.answer != CallAnswer::Done)
            continue;
        const PlannedCall& call = plan.calls[record.call];
        const std::string& kind = profile.mix[plan.requests[call.request].mix].kind.value();
        double& value = longest[kind][static_cast<double>(call.at / slice)];
        value = std::max(value, static_cast<double>(record.latency.count()) / 1000);
    }
    std::vector<PlotSeries> list;
    for (const auto& [kind, values] : longest) {
        PlotSeries series { kind, {} };
        for (const auto& [second, milliseconds] : values)
            series.points.push_back({ second, milliseconds });
        list.push_back(std::move(series));
    }
    return list;
}

std::string milliseconds(Duration duration) { return shortNumber(static_cast<double>(duration.count()) / 1000); }

std::string latencyTable(const LoadReport& report)
{
    std::vector<std::vector<std::string>> rows { { "kind", "urgency", "calls", "answered", "median ms", "p99 ms",
        "longest ms" } };
    for (const LatencySummary& each : report.latencies)
        rows.push_back({ each.kind, each.urgency, std::to_string(each.calls), std::to_string(each.answered),
            milliseconds(each.median), milliseconds(each.p99), milliseconds(each.longest) });
    return htmlTable(rows);
}

std::string ledgerTable(const Ledger& ledger)
{
    return htmlTable({ { "requests", "answered", "not run", "outcome unknown", "lost", "doubled", "mixed up",
                           "untrue not run", "untrue done" },
        { std::to_string(ledger.requests), std::to_string(ledger.answered), std::to_string(ledger.notRun),
            std::to_string(ledger.outcomeUnknown), std::to_string(ledger.lost), std::to_string(ledger.doubled),
            std::to_string(ledger.mixedUp), std::to_string(ledger.untrueNotRun), std::to_string(ledger.untrueDone) } });
}

} // namespace

std::string reportPage(
    const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records, const LoadReport& report)
{
    const auto slices = countSlices(plan, records);
    const LinePlot calls { "Calls by the second in which they were due", "seconds since the start", "calls a second",
        { seriesOf("due", slices, &SliceCounts::calls), seriesOf("answered", slices, &SliceCounts::answered),
            seriesOf("not run", slices, &SliceCounts::notRun) } };
    const LinePlot latency { "Longest latency of done calls", "seconds since the start", "milliseconds",
        latencySeries(profile, plan, records) };
    return htmlPage("Load run",
        "<h2>Ledger</h2>\n" + ledgerTable(report.ledger) + "<h2>Latency</h2>\n" + latencyTable(report) + svg(calls)
            + svg(latency));
}

} // namespace rattanrack::cli
