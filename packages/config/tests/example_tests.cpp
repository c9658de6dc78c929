#include "rattanrack/config/load.h"
#include "rattanrack/config/node_settings.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace rattanrack;
using namespace rattanrack::config;

namespace {

std::string readText(const std::string& name)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(source, readSource(std::string { RATTANRACK_EXAMPLES } + "/" + name));
            return source.text;
        },
        [](const Error& error) { return describe(error); });
}

Checked<Federation> loadExample(const std::string& folder, const std::vector<std::string>& overlays)
{
    const std::string prefix = folder + "/";
    std::vector<SourceText> texts;
    texts.reserve(overlays.size());
    for (const std::string& overlay : overlays)
        texts.push_back({ overlay, readText(prefix + overlay) });
    return load({ "base.yaml", readText(prefix + "base.yaml") }, texts);
}

std::uint32_t workersOf(const std::vector<Pool>& pools)
{
    return std::accumulate(
        pools.begin(), pools.end(), 0U, [](std::uint32_t sum, const Pool& pool) { return sum + pool.workers; });
}

void expectFleetOfFifty(const Checked<Federation>& loaded, std::size_t siteCount)
{
    ASSERT_TRUE(loaded.isValid()) << describe(loaded.diagnostics());
    const Federation& federation = loaded.value();
    EXPECT_EQ(federation.pools.size(), 5U);
    EXPECT_EQ(workersOf(federation.pools), 50U);
    EXPECT_EQ(federation.sparePool, PoolId { "office" });
    EXPECT_EQ(federation.sites.size(), siteCount);
    std::uint32_t atSites = 0;
    for (const Site& site : federation.sites)
        atSites += workersOf(site.pools);
    EXPECT_EQ(atSites, 50U);
}

} // namespace

TEST(Examples, LindmayrIsValid)
{
    expectFleetOfFifty(loadExample("lindmayr", { "munich.yaml", "nuremberg.yaml", "augsburg.yaml" }), 3);
}

TEST(Examples, NamiotechIsValid)
{
    expectFleetOfFifty(
        loadExample("namiotech", { "krakow.yaml", "tarnow.yaml", "nowy-sacz.yaml", "oswiecim.yaml" }), 4);
}

TEST(Examples, NodeSettingsAreValid)
{
    for (const std::string folder : { "lindmayr", "namiotech" }) {
        const auto parsed = parseNodeSettings("node.yaml", readText(folder + "/node.yaml"));
        EXPECT_TRUE(parsed.isValid()) << describe(parsed.diagnostics());
    }
}
