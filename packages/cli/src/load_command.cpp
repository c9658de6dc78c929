#include "commands.h"

#include "load_report.h"
#include "load_run.h"
#include "output_file.h"

#include "rattanrack/config/load.h"

namespace rattanrack::cli {

namespace {

ExitCode exitCodeOf(const LoadReport& report, const LoadProfile& profile)
{
    if (report.ledger.broken() > 0)
        return ExitCode::CheckFailed;
    // A ledger that was asked for and not checked whole proves nothing.
    if (!profile.workerLogs.empty() && report.coverage != LogCoverage::Whole)
        return ExitCode::Unavailable;
    return ExitCode::Success;
}

} // namespace

Result<Outcome> load(Context& context)
{
    const Invocation& invocation = context.invocation;
    BOOST_LEAF_AUTO(source, config::readSource(invocation.target));
    BOOST_LEAF_AUTO(profile, parseLoadProfile(source.name, source.text).result("load.profile"));
    const LoadPlan plan = planLoad(profile, invocation.seed, newAttemptId().value());
    const auto records = playLoad(profile, plan, invocation.nodes, context.progress);
    const WorkerLogs logs = readWorkerLogs(profile.workerLogs);
    const LoadReport report = summarize(profile, plan, records, logs.runs, logs.coverage);
    if (invocation.htmlFile) {
        BOOST_LEAF_CHECK(writeFile(*invocation.htmlFile, reportPage(profile, plan, records, report)));
    }
    return Outcome { exitCodeOf(report, profile), reportText(report), reportJson(report) };
}

} // namespace rattanrack::cli
