#include "commands.h"

#include "burn_report.h"
#include "output_file.h"

#include "rattanrack/config/load.h"

namespace rattanrack::cli {

namespace {

Result<BurnMessage> decodeBurn(const nlohmann::json& answer)
{
    try {
        BurnMessage message;
        read(answer, message);
        return message;
    } catch (const std::exception& error) {
        return fail(ErrorCode::MalformedMessage, "admin.burn", {}, error.what());
    }
}

Result<std::vector<Measure>> readMeasures(const std::string& path)
{
    BOOST_LEAF_AUTO(source, config::readSource(path));
    return parseMeasures(source.text);
}

} // namespace

Result<Outcome> reportBurn(Context& context)
{
    BurnReport report;
    if (context.invocation.measuresFile) {
        BOOST_LEAF_ASSIGN(report.measures, readMeasures(*context.invocation.measuresFile));
    }
    BOOST_LEAF_AUTO(answer, context.client.read("/v1/admin/burn"));
    BOOST_LEAF_ASSIGN(report.message, decodeBurn(answer));
    report.burn = policy::assess(report.message.objectives, report.message.summary.windows);
    if (context.invocation.htmlFile) {
        BOOST_LEAF_CHECK(writeFile(*context.invocation.htmlFile, reportPage(report)));
    }
    return Outcome { ExitCode::Success, reportText(report), reportJson(report) };
}

} // namespace rattanrack::cli
