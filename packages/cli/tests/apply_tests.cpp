#include "fake_federation.h"
#include "program_run.h"

#include "rattanrack/config/load.h"

#include <gtest/gtest.h>

using namespace rattanrack;

namespace {

const std::string base = examplePath("lindmayr/base.yaml");

std::string documentWithBudget(std::uint32_t sharedBudget)
{
    auto federation = handle(
        []() -> Result<config::Federation> {
            BOOST_LEAF_AUTO(source, config::readSource(base));
            return config::load(source, {}).result("test");
        },
        [](const Error&) { return config::Federation {}; });
    federation.sharedBudget = sharedBudget;
    return serialize(federation);
}

ProgramRun applyTo(FakeFederation& federation, const std::vector<std::string>& options = {})
{
    std::vector<std::string> arguments { "apply", base, "--json", "--node=" + federation.address() };
    arguments.insert(arguments.end(), options.begin(), options.end());
    return runProgramWith(arguments);
}

} // namespace

TEST(Apply, BringsTheFirstConfigurationInForce)
{
    FakeFederation federation;
    const auto run = applyTo(federation);
    EXPECT_EQ(run.status, 0) << run.output << run.progress;
    EXPECT_EQ(run.json(), nlohmann::json::parse(R"({"version": 2, "nodes": 1, "inForce": 1})"));
    EXPECT_EQ(federation.document(), documentWithBudget(8));
}

TEST(Apply, WithoutChangesProposesNothing)
{
    FakeFederation federation;
    federation.setDocument(5, documentWithBudget(8));
    EXPECT_EQ(applyTo(federation).status, 0);
    EXPECT_EQ(federation.version(), 5U);
}

TEST(Apply, LostAnswerIsSettledByItsAttempt)
{
    FakeFederation federation;
    federation.setFaults({ ProposalFault::LoseAnswer });
    const auto run = applyTo(federation);
    EXPECT_EQ(run.status, 0) << run.output << run.progress;
    EXPECT_EQ(federation.version(), 2U);
}

TEST(Apply, UnknownOutcomeIsSettledByItsAttempt)
{
    FakeFederation federation;
    federation.setFaults({ ProposalFault::SayUnknown });
    const auto run = applyTo(federation);
    EXPECT_EQ(run.status, 0) << run.output;
    EXPECT_EQ(run.json()["version"], 2);
}

TEST(Apply, LostRequestIsSentAgain)
{
    FakeFederation federation;
    federation.setFaults({ ProposalFault::LoseRequest, ProposalFault::SayUnavailable });
    const auto run = applyTo(federation);
    EXPECT_EQ(run.status, 0) << run.output << run.progress;
    EXPECT_EQ(federation.version(), 2U);
}

TEST(Apply, LostRequestThatARivalOvertookIsAConflict)
{
    FakeFederation federation;
    federation.setDocument(5, documentWithBudget(7));
    federation.setFaults({ ProposalFault::LoseRequest });
    federation.setRival(documentWithBudget(6));
    const auto run = applyTo(federation);
    EXPECT_EQ(run.status, 3) << run.output;
    EXPECT_EQ(federation.document(), documentWithBudget(6));
}

TEST(Apply, ConflictShowsBothDifferences)
{
    FakeFederation federation;
    federation.setDocument(5, documentWithBudget(7));
    federation.setRival(documentWithBudget(6));
    const auto run = runProgramWith({ "apply", base, "--node", federation.address() });
    EXPECT_EQ(run.status, 3);
    EXPECT_EQ(run.output,
        "conflict: version 6 is in force; nothing was changed\n"
        "what it changed since:\n~ sharedBudget: 7 -> 6\n"
        "what this configuration would change in it:\n~ sharedBudget: 6 -> 8\n");
}

TEST(Apply, ExpectedVersionThatIsGoneIsAConflict)
{
    FakeFederation federation;
    federation.setDocument(5, documentWithBudget(7));
    EXPECT_EQ(applyTo(federation, { "--expect=4" }).status, 3);
    EXPECT_EQ(federation.version(), 5U);
}

TEST(Apply, UnavailableTableIsNotUnknown)
{
    FakeFederation federation;
    federation.setFaults({ ProposalFault::SayUnavailable });
    EXPECT_EQ(applyTo(federation, { "--timeout=0" }).status, 4);
    EXPECT_EQ(federation.version(), 1U);
}

TEST(Apply, UnsettledAnswerIsUnknownAndNamesTheAttempt)
{
    FakeFederation federation;
    federation.setFaults({ ProposalFault::LoseRequest });
    const auto run = applyTo(federation, { "--timeout=0" });
    EXPECT_EQ(run.status, 5);
    EXPECT_NE(run.json()["detail"].get<std::string>().find("attempt"), std::string::npos);
}

TEST(Apply, TellsWhenANodeLagsBehind)
{
    FakeFederation federation;
    federation.pinReportedVersion(1);
    const auto run = applyTo(federation, { "--timeout=0" });
    EXPECT_EQ(run.status, 7);
    EXPECT_EQ(run.json(), nlohmann::json::parse(R"({"version": 2, "nodes": 1, "inForce": 0})"));
}

TEST(Apply, TriesTheNextNode)
{
    FakeFederation federation;
    const auto run
        = runProgramWith({ "apply", base, "--node=127.0.0.1:1", "--node=" + federation.address(), "--json" });
    EXPECT_EQ(run.status, 0) << run.output;
}
