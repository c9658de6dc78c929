#include "rattanrack/config/node_settings.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::config;

namespace {

const std::string settingsText = "node: entry-1\n" // 1
                                 "listen: 10.0.0.1:8080\n" // 2
                                 "peerListen: 10.0.0.1:7000\n" // 3
                                 "dataCenter: munich\n" // 4
                                 "region: bavaria\n" // 5
                                 "platform:\n" // 6
                                 "  table: 10.0.1.1:80\n" // 7
                                 "  objectStore: 10.0.1.2:80\n" // 8
                                 "  vmList: 10.0.1.3:80\n"; // 9

std::string mistakes(const std::string& text)
{
    const auto parsed = parseNodeSettings("n", text);
    return parsed.isValid() ? "valid" : describe(parsed.diagnostics());
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(NodeSettings, ReadsEveryKey)
{
    const auto parsed = parseNodeSettings("n",
        settingsText
            + "seedPeers: [10.0.0.2:7000, '[::1]:7001']\nthreads: {callers: 9, workers: 8, platform: 7}\n"
              "connections: {callers: 6, perWorker: 5}\nlogLevel: debug\n");
    ASSERT_TRUE(parsed.isValid()) << describe(parsed.diagnostics());
    const NodeSettings& settings = parsed.value();
    EXPECT_EQ(settings.name, "entry-1");
    EXPECT_EQ(settings.listen.text(), "10.0.0.1:8080");
    EXPECT_EQ(settings.peerListen.text(), "10.0.0.1:7000");
    EXPECT_EQ(settings.platform.vmList.text(), "10.0.1.3:80");
    ASSERT_EQ(settings.seedPeers.size(), 2U);
    EXPECT_EQ(settings.seedPeers[1].text(), "[::1]:7001");
    EXPECT_EQ(settings.threads, (ThreadCounts { 9, 8, 7 }));
    EXPECT_EQ(settings.connections, (ConnectionLimits { 6, 5 }));
    EXPECT_EQ(settings.logLevel, LogLevel::Debug);
}

TEST(NodeSettings, HostNameIsNotAnAddress)
{
    EXPECT_EQ(mistakes(replaced(settingsText, "10.0.0.1:8080", "localhost:8080")),
        "n:2:9: listen: 'localhost:8080' is not an address, expected an IP number and a port, such as "
        "10.0.0.1:8080\n");
}

TEST(NodeSettings, SameAddressTwice)
{
    EXPECT_EQ(mistakes(replaced(settingsText, "10.0.0.1:8080", "10.0.0.1:7000")),
        "n:3:13: peerListen: is the same address as listen, expected another\n");
}

TEST(NodeSettings, MissingPlatformAddress)
{
    EXPECT_EQ(mistakes(replaced(settingsText, "  vmList: 10.0.1.3:80\n", "")),
        "n:7:3: platform.vmList: missing, expected a single value\n");
}

TEST(NodeSettings, BadSeedPeer)
{
    EXPECT_EQ(mistakes(settingsText + "seedPeers: [10.0.0.2]\n"),
        "n:10:13: seedPeers[0]: '10.0.0.2' is not an address, expected an IP number and a port, such as "
        "10.0.0.1:8080\n");
}

TEST(NodeSettings, UnknownLogLevel)
{
    EXPECT_EQ(mistakes(settingsText + "logLevel: loud\n"),
        "n:10:11: logLevel: 'loud', expected one of: debug, info, warning, error\n");
}

TEST(NodeSettings, UnknownKey)
{
    EXPECT_EQ(mistakes(settingsText + "threads: {callrs: 1}\n"),
        "n:10:11: threads.callrs: unknown key, expected one of: callers, platform, workers\n");
}

TEST(NodeSettings, MissingFileNamesThePath)
{
    const auto text = handle(
        []() -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, loadNodeSettings("/nonexistent/node.yaml"));
            return settings.name;
        },
        [](const Error& error) { return describe(error); });
    EXPECT_EQ(text, "not found step=config.read_file: /nonexistent/node.yaml");
}

TEST(Address, RefusesWhatIsNotAnIpNumberAndAPort)
{
    for (const auto* const text : { "", ":80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:80",
             "::1:80", "[1.2.3.4]:80", "1.2.3.4:8x" })
        EXPECT_FALSE(parseAddress(text)) << text;
}
