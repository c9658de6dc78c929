#include "rattanrack/config/job_node_settings.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::config;
using namespace std::chrono_literals;

namespace {

const std::string settingsText = "node: n-1\n" // 1
                                 "listen: 10.0.0.1:8080\n" // 2
                                 "readiness: 10.0.0.1:8081\n" // 3
                                 "peerListen: 10.0.0.1:7000\n" // 4
                                 "store: 10.0.1.1:80\n" // 5
                                 "machineList: 10.0.1.2:80\n" // 6
                                 "longestLease: 10000ms\n" // 7
                                 "keepEnded: 120s\n" // 8
                                 "longestStop: 900ms\n" // 9
                                 "drainBound: 2000ms\n" // 10
                                 "stopGrace: 6s\n"; // 11

std::string mistakes(const std::string& text)
{
    const auto parsed = parseJobNodeFile("n", text);
    return parsed.isValid() ? "valid" : describe(parsed.diagnostics());
}

} // namespace

TEST(JobNodeSettings, ProcessorIsOneCoreWhenNotNamed)
{
    const auto parsed = parseJobNodeFile("n", settingsText);
    ASSERT_TRUE(parsed.isValid()) << describe(parsed.diagnostics());
    EXPECT_EQ(parsed.value().processorShare, 1);
    EXPECT_EQ(parsed.value().processorCores, 1);
    EXPECT_EQ(parsed.value().longestStop, 900ms);
}

TEST(JobNodeSettings, ConfigurationBoundIsTwoSecondsWhenNotNamed)
{
    EXPECT_EQ(parseJobNodeFile("n", settingsText).value().configurationBound, 2s);
    EXPECT_EQ(parseJobNodeFile("n", settingsText + "configurationBound: 700ms\n").value().configurationBound, 700ms);
    EXPECT_NE(mistakes(settingsText + "configurationBound: 10ms\n"), "valid");
}

TEST(JobNodeSettings, AnnouncedPeerAddressIsReadWhereItIsNamed)
{
    const auto without = parseJobNodeFile("n", settingsText);
    ASSERT_TRUE(without.isValid()) << describe(without.diagnostics());
    EXPECT_FALSE(without.value().peerAnnounce.has_value());
    const auto with = parseJobNodeFile("n", settingsText + "peerAnnounce: 10.0.0.9:7100\n");
    ASSERT_TRUE(with.isValid()) << describe(with.diagnostics());
    ASSERT_TRUE(with.value().peerAnnounce.has_value());
    EXPECT_EQ(with.value().peerAnnounce->text(), "10.0.0.9:7100");
    EXPECT_EQ(with.value().peerListen.text(), "10.0.0.1:7000");
    EXPECT_NE(mistakes(settingsText + "peerAnnounce: nowhere\n"), "valid");
}

TEST(JobNodeSettings, ProcessorShareAndCoresAreRead)
{
    const auto parsed = parseJobNodeFile("n", settingsText + "processorShare: 0.12\nprocessorCores: 1.5\n");
    ASSERT_TRUE(parsed.isValid()) << describe(parsed.diagnostics());
    EXPECT_EQ(parsed.value().processorShare, 0.12);
    EXPECT_EQ(parsed.value().processorCores, 1.5);
}

TEST(JobNodeSettings, ProcessorOutOfRangeIsRefused)
{
    EXPECT_EQ(mistakes(settingsText + "processorShare: 0\n"),
        "n:12:17: processorShare: '0', expected a number above 0 to 1\n");
    for (const char* line : { "processorShare: 1.01", "processorShare: -0.5", "processorShare: nan",
             "processorShare: half", "processorCores: 0", "processorCores: 1025" })
        EXPECT_NE(mistakes(settingsText + line + '\n'), "valid") << line;
}
