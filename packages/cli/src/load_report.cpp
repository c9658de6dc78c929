#include "load_report.h"

#include "rattanrack/base/milliseconds.h"
#include "text_table.h"

#include <algorithm>
#include <map>

namespace rattanrack::cli {

namespace {

std::string millisecondsText(Duration duration) { return std::to_string(milliseconds(duration)); }

std::string_view coverageText(LogCoverage coverage)
{
    switch (coverage) {
    case LogCoverage::None:
        return "not checked against the workers' logs";
    case LogCoverage::Partial:
        return "checked against a part of the workers' logs";
    case LogCoverage::Whole:
        break;
    }
    return "checked against all workers' logs";
}

/// The value below which the given part of `sorted` lies.
Duration quantile(const std::vector<Duration>& sorted, double part)
{
    if (sorted.empty())
        return Duration::zero();
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

bool isAnswered(const CallRecord& record)
{
    return record.answer == CallAnswer::Done || record.answer == CallAnswer::Failed;
}

LatencySummary summarizeMix(const RequestMix& mix, std::uint64_t calls, std::vector<Duration> latencies)
{
    std::sort(latencies.begin(), latencies.end());
    LatencySummary summary { mix.kind.value(), mix.urgency, calls, latencies.size() };
    summary.median = quantile(latencies, 0.5);
    summary.p99 = quantile(latencies, 0.99);
    summary.longest = latencies.empty() ? Duration::zero() : latencies.back();
    return summary;
}

} // namespace

LoadReport summarize(const LoadProfile& profile, const LoadPlan& plan, const std::vector<CallRecord>& records,
    const std::vector<LoggedRun>& runs, LogCoverage coverage)
{
    LoadReport report;
    report.ledger = checkLedger(profile, plan, records, runs, coverage);
    report.coverage = coverage;
    std::vector<std::uint64_t> calls(profile.mix.size());
    std::vector<std::vector<Duration>> latencies(profile.mix.size());
    for (const CallRecord& record : records) {
        const std::size_t mix = plan.requests[plan.calls[record.call].request].mix;
        ++calls[mix];
        if (isAnswered(record))
            latencies[mix].push_back(record.latency);
        report.longestSendDelay = std::max(report.longestSendDelay, record.sendDelay);
        report.missingRetryAfter += record.lacksRetryAfter ? 1 : 0;
    }
    for (std::size_t mix = 0; mix < profile.mix.size(); ++mix)
        report.latencies.push_back(summarizeMix(profile.mix[mix], calls[mix], std::move(latencies[mix])));
    return report;
}

std::string reportText(const LoadReport& report)
{
    TextTable table { { "KIND", "URGENCY", "CALLS", "ANSWERED", "MEDIAN ms", "P99 ms", "LONGEST ms" } };
    for (const LatencySummary& each : report.latencies)
        table.add({ each.kind, each.urgency, std::to_string(each.calls), std::to_string(each.answered),
            millisecondsText(each.median), millisecondsText(each.p99), millisecondsText(each.longest) });
    const Ledger& ledger = report.ledger;
    std::string text = table.text();
    text += "longest send delay " + millisecondsText(report.longestSendDelay) + " ms; refusals without Retry-After "
        + std::to_string(report.missingRetryAfter) + "\n";
    text += "ledger " + std::string { coverageText(report.coverage) } + ": lost " + std::to_string(ledger.lost)
        + ", doubled " + std::to_string(ledger.doubled) + ", mixed up " + std::to_string(ledger.mixedUp)
        + ", untrue not run " + std::to_string(ledger.untrueNotRun) + ", untrue done "
        + std::to_string(ledger.untrueDone) + "\n";
    for (const std::string& example : ledger.examples)
        text += "  " + example + "\n";
    return text + "load: " + std::to_string(ledger.requests) + " requests, " + std::to_string(ledger.answered)
        + " answered, " + std::to_string(ledger.notRun) + " not run, " + std::to_string(ledger.outcomeUnknown)
        + " outcome unknown, " + std::to_string(ledger.broken()) + " invariants broken\n";
}

nlohmann::json reportJson(const LoadReport& report)
{
    const Ledger& ledger = report.ledger;
    auto latencies = nlohmann::json::array();
    for (const LatencySummary& each : report.latencies)
        latencies.push_back({ { "kind", each.kind }, { "urgency", each.urgency }, { "calls", each.calls },
            { "answered", each.answered }, { "medianMicroseconds", each.median.count() },
            { "p99Microseconds", each.p99.count() }, { "longestMicroseconds", each.longest.count() } });
    return { { "requests", ledger.requests }, { "answered", ledger.answered }, { "notRun", ledger.notRun },
        { "outcomeUnknown", ledger.outcomeUnknown }, { "broken", ledger.broken() }, { "lost", ledger.lost },
        { "doubled", ledger.doubled }, { "mixedUp", ledger.mixedUp }, { "untrueNotRun", ledger.untrueNotRun },
        { "untrueDone", ledger.untrueDone }, { "examples", ledger.examples }, { "logs", coverageText(report.coverage) },
        { "latencies", latencies }, { "longestSendDelayMicroseconds", report.longestSendDelay.count() },
        { "missingRetryAfter", report.missingRetryAfter } };
}

} // namespace rattanrack::cli
