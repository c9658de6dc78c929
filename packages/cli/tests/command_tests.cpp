#include "fake_federation.h"
#include "program_run.h"

#include <gtest/gtest.h>

#include <fstream>

namespace {

ProgramRun ask(FakeFederation& federation, std::vector<std::string> arguments)
{
    arguments.push_back("--node=" + federation.address());
    return runProgramWith(arguments);
}

std::string writtenFile(const std::string& name, const std::string& text)
{
    std::string path = temporaryPath(name);
    std::ofstream { path } << text;
    return path;
}

} // namespace

TEST(CommandLine, MisuseIsNotASuccess)
{
    EXPECT_EQ(runProgramWith({ "fly" }).status, 2);
    EXPECT_EQ(runProgramWith({}).status, 2);
    EXPECT_EQ(runProgramWith({ "status", "--node=localhost:1" }).status, 2);
    EXPECT_EQ(runProgramWith({ "status", "--timeout=soon" }).status, 2);
    EXPECT_EQ(runProgramWith({ "explain", "vm", "../config" }).status, 2);
    EXPECT_EQ(runProgramWith({ "validate", "/nonexistent.yaml" }).status, 2);
    EXPECT_EQ(runProgramWith({ "move", "vm-1" }).status, 2);
}

TEST(CommandLine, HelpIsASuccess) { EXPECT_EQ(runProgramWith({ "--help" }).status, 0); }

TEST(Validate, AcceptsTheExamples)
{
    const auto run = runProgramWith({ "validate", examplePath("lindmayr/base.yaml"),
        examplePath("lindmayr/munich.yaml"), examplePath("lindmayr/nuremberg.yaml") });
    EXPECT_EQ(run.status, 0);
    EXPECT_EQ(run.output, "valid: federation lindmayr, 5 pools, 3 sites\n");
}

TEST(Validate, ListsMistakes)
{
    const std::string path = writtenFile("bad.yaml", "federation: a\nsparePool: b\npools: []\nsites: 3\n");
    const auto run = runProgramWith({ "validate", path, "--json" });
    EXPECT_EQ(run.status, 1);
    EXPECT_EQ(run.json()["diagnostics"][0]["line"], 4);
    EXPECT_EQ(run.json()["diagnostics"][0]["column"], 8);
}

TEST(Merge, PrintsADocumentThatIsValidItself)
{
    const auto merged
        = runProgramWith({ "merge", examplePath("namiotech/base.yaml"), examplePath("namiotech/tarnow.yaml") });
    ASSERT_EQ(merged.status, 0);
    const std::string path = writtenFile("merged.yaml", merged.output);
    EXPECT_EQ(runProgramWith({ "merge", path }).output, merged.output);
    const auto same = runProgramWith(
        { "diff", examplePath("namiotech/base.yaml"), examplePath("namiotech/tarnow.yaml"), "--with", path });
    EXPECT_EQ(same.output, "no changes\n");
}

TEST(Diff, ComparesWithWhatIsInForce)
{
    FakeFederation federation;
    const auto run = ask(federation, { "diff", examplePath("lindmayr/base.yaml") });
    EXPECT_EQ(run.status, 0);
    EXPECT_NE(run.output.find("+ pools.office.workers: 10\n"), std::string::npos);
}

TEST(Status, PrintsTables)
{
    FakeFederation federation;
    const auto run = ask(federation, { "status" });
    EXPECT_EQ(run.status, 0);
    EXPECT_NE(run.output.find("office  10       9          7      1               3       4\n"), std::string::npos)
        << run.output;
    EXPECT_NE(run.output.find("spring    reboot  running  3     10\n"), std::string::npos) << run.output;
}

TEST(Status, NoNodeAnswers) { EXPECT_EQ(runProgramWith({ "status", "--node=127.0.0.1:1" }).status, 4); }

TEST(Operations, SendSelectionAndReportRefusals)
{
    FakeFederation federation;
    const auto run = ask(federation, { "move", "--to=office", "vm-1", "vm-2", "--operator=ada" });
    EXPECT_EQ(run.status, 6);
    EXPECT_EQ(run.output, "VM    RESULT   REASON\nvm-1  done\nvm-2  refused  floor\n");
    const auto [path, body] = federation.changes().at(0);
    EXPECT_EQ(path, "/v1/admin/operations");
    EXPECT_EQ(body["kind"], "move");
    EXPECT_EQ(body["toPool"], "office");
    EXPECT_EQ(body["operator"], "ada");
    EXPECT_EQ(body["vms"], nlohmann::json::parse(R"(["vm-1", "vm-2"])"));
    EXPECT_EQ(body["attempt"].get<std::string>().size(), 32U);
}

TEST(Operations, SelectByRack)
{
    FakeFederation federation;
    ask(federation, { "drain", "--rack=r-1" });
    EXPECT_EQ(federation.changes().at(0).second["rack"], "r-1");
    EXPECT_EQ(federation.changes().at(0).second["kind"], "drain");
}

TEST(Operations, RefusalOfAllIsShownAsATable)
{
    FakeFederation federation;
    const auto run = ask(federation, { "reboot", "vm-1" });
    EXPECT_EQ(run.status, 6);
    EXPECT_EQ(run.output, "VM    RESULT   REASON\nvm-1  refused  floor\n");
}

TEST(RollOut, RefusalNamesTheReason)
{
    FakeFederation federation;
    const auto run = ask(federation, { "rollout", "abort", "held" });
    EXPECT_EQ(run.status, 6);
    EXPECT_NE(run.output.find("finished"), std::string::npos);
}

TEST(RollOut, StartsAndSteers)
{
    FakeFederation federation;
    EXPECT_EQ(ask(federation, { "rollout", "start", "spring", "--pool=office" }).status, 0);
    EXPECT_EQ(ask(federation, { "rollout", "pause", "spring" }).output, "roll-out spring pause accepted\n");
    const auto changes = federation.changes();
    EXPECT_EQ(changes.at(0).first, "/v1/admin/rollouts");
    EXPECT_EQ(changes.at(0).second["id"], "spring");
    EXPECT_EQ(changes.at(0).second["pool"], "office");
    EXPECT_EQ(changes.at(1).first, "/v1/admin/rollouts/spring/pause");
}

TEST(Explain, PrintsLines)
{
    FakeFederation federation;
    EXPECT_EQ(ask(federation, { "explain", "vm", "vm-1" }).output, "pool office\ndraining\n");
    const auto missing = ask(federation, { "explain", "vm", "vm-9" });
    EXPECT_EQ(missing.status, 6);
    EXPECT_NE(missing.output.find("no such VM"), std::string::npos);
}
