#include "rattanrack/config/diff.h"
#include "rattanrack/config/load.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::config;

namespace {

// Line numbers in the tests count from the first line of these texts.
const std::string head = "federation: guild\n" // 1
                         "sparePool: office\n" // 2
                         "sharedBudget: 2\n"; // 3
const std::string officePool = "pools:\n" // 4
                               "  - name: office\n" // 5
                               "    workers: 10\n" // 6
                               "    minAvailable: 7\n" // 7
                               "    mayLend: 2\n" // 8
                               "    kinds:\n" // 9
                               "      - name: letters\n"; // 10
const std::string sites = "sites:\n" // 11
                          "  - dataCenter: munich\n" // 12
                          "    region: bavaria\n"; // 13
const std::string base = head + officePool + sites;

std::string firstMistake(const std::string& text, const std::vector<SourceText>& overlays = {})
{
    const auto loaded = load({ "b", text }, overlays);
    return loaded.isValid() ? "valid" : describe(loaded.diagnostics().front());
}

std::string overlayMistake(const std::string& text) { return firstMistake(base, { { "o", text } }); }

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(Load, AcceptsTheSmallestBase)
{
    const auto loaded = load({ "b", base }, {});
    ASSERT_TRUE(loaded.isValid()) << describe(loaded.diagnostics());
    EXPECT_EQ(loaded.value().pools.at(0).maxQueued, 1000U);
    EXPECT_EQ(loaded.value().sites.at(0).pools, loaded.value().pools);
}

TEST(Load, OverlayChangesOnlyItsSite)
{
    const std::string two = base + "  - dataCenter: passau\n    region: bavaria\n";
    const auto loaded = load({ "b", two }, { { "o", "site: passau\npools:\n  - name: office\n    maxQueued: 5\n" } });
    ASSERT_TRUE(loaded.isValid()) << describe(loaded.diagnostics());
    EXPECT_EQ(loaded.value().pools.at(0).maxQueued, 1000U);
    EXPECT_EQ(loaded.value().sites.at(0).pools.at(0).maxQueued, 1000U);
    EXPECT_EQ(loaded.value().sites.at(1).pools.at(0).maxQueued, 5U);
}

TEST(Load, ReportsAllMistakesOfAllFilesInOrder)
{
    const auto loaded
        = load({ "b", "wrong: 1\n" + replaced(base, "10", "ten") }, { { "o", "site: munich\nbad: 1\n" } });
    ASSERT_FALSE(loaded.isValid());
    EXPECT_EQ(describe(loaded.diagnostics()),
        "b:1:1: wrong: unknown key, expected one of: federation, pools, sharedBudget, sites, sparePool, teams, "
        "weights\n"
        "b:7:14: pools[0].workers: 'ten', expected a whole number from 1 to 100000\n"
        "o:2:1: bad: unknown key, expected one of: pools, site\n");
}

TEST(Load, UnknownKey)
{
    EXPECT_EQ(firstMistake(replaced(base, "mayLend", "mayLent")),
        "b:8:5: pools[0].mayLent: unknown key, expected one of: kinds, maxEjectedShare, maxPlannedDown, maxQueued, "
        "maxQueuedMemory, mayBorrow, mayLend, minAvailable, name, retryBudget, workers");
}

TEST(Load, MissingKey)
{
    EXPECT_EQ(firstMistake(replaced(base, "    workers: 10\n", "")),
        "b:5:5: pools[0].workers: missing, expected a single value");
}

TEST(Load, WrongType)
{
    EXPECT_EQ(firstMistake(replaced(base, "workers: 10", "workers: [10]")),
        "b:6:14: pools[0].workers: wrong type, expected a single value");
    EXPECT_EQ(
        firstMistake(replaced(base, "- name: letters", "- letters")), "b:10:9: pools[0].kinds[0]: expected a map");
}

TEST(Load, DurationWithoutUnit)
{
    EXPECT_EQ(firstMistake(replaced(base, "letters\n", "letters\n        objective: {urgentLatency: 2}\n")),
        "b:11:36: pools[0].kinds[0].objective.urgentLatency: '2', expected a duration from 1ms to 168h, such as "
        "150ms, 2s or 5min");
}

TEST(Load, LatenciesOutOfOrder)
{
    EXPECT_EQ(firstMistake(replaced(base, "letters\n", "letters\n        objective: {urgentLatency: 11s}\n")),
        "b:11:20: pools[0].kinds[0].objective: expected urgentLatency <= normalLatency <= backgroundLatency, found "
        "11s, 10s, 1min");
}

TEST(Load, MemoryWithWrongUnit)
{
    EXPECT_EQ(firstMistake(replaced(base, "mayLend: 2", "maxQueuedMemory: 4GB")),
        "b:8:22: pools[0].maxQueuedMemory: '4GB', expected memory from 1KiB to 64GiB, such as 64KiB, 16MiB or 4GiB");
}

TEST(Load, BadName)
{
    EXPECT_EQ(firstMistake(replaced(base, "name: office", "name: Front Office")),
        "b:5:11: pools[0].name: 'Front Office' is not a name, expected 1 to 64 of a-z, 0-9 and -");
}

TEST(Load, DuplicateKey)
{
    EXPECT_EQ(firstMistake(replaced(base, "    mayLend", "    workers: 9\n    mayLend")),
        "b:8:5: workers: the key stands twice, expected it once");
}

TEST(Load, DuplicatePool)
{
    EXPECT_EQ(firstMistake(replaced(base, "sites:", "  - {name: office, workers: 1, kinds: []}\nsites:")),
        "b:11:12: pools[1].name: pool 'office' is defined twice, expected it once");
}

TEST(Load, DuplicateTeam)
{
    EXPECT_EQ(firstMistake(base + "teams: [{name: a}, {name: a}]\n"),
        "b:14:27: teams[1].name: team 'a' is defined twice, expected it once");
}

TEST(Load, DuplicateDataCenter)
{
    EXPECT_EQ(firstMistake(base + "  - {dataCenter: munich, region: x}\n"),
        "b:14:18: sites[1].dataCenter: data centre 'munich' is defined twice, expected it once");
}

TEST(Load, FloorLargerThanPool)
{
    EXPECT_EQ(firstMistake(replaced(base, "minAvailable: 7", "minAvailable: 11")),
        "b:7:19: pools[0].minAvailable: minAvailable 11 is more than the pool's 10 workers");
}

TEST(Load, FloorAndPlannedDownLargerThanPool)
{
    EXPECT_EQ(firstMistake(replaced(base, "mayLend: 2", "maxPlannedDown: 4")),
        "b:8:21: pools[0].maxPlannedDown: minAvailable 7 and maxPlannedDown 4 together are more than the pool's 10 "
        "workers");
}

TEST(Load, LendsMoreThanStandsAboveFloor)
{
    EXPECT_EQ(firstMistake(replaced(base, "mayLend: 2", "mayLend: 4")),
        "b:8:14: pools[0].mayLend: mayLend 4 is more than the 3 workers above minAvailable");
}

TEST(Load, BorrowsMoreThanSharedBudget)
{
    EXPECT_EQ(firstMistake(replaced(base, "mayLend: 2", "mayLend: 2\n    mayBorrow: 3")),
        "b:9:16: pools[0].mayBorrow: 3 is more than sharedBudget, 2");
}

TEST(Overlay, BorrowsMoreThanSharedBudget)
{
    EXPECT_EQ(overlayMistake("site: munich\npools: [{name: office, mayBorrow: 3}]\n"),
        "o:2:35: pools[0].mayBorrow: 3 is more than sharedBudget, 2");
}

TEST(Load, WrongSharedBudgetIsReportedOnce)
{
    const auto loaded = load({ "b", replaced(base, "sharedBudget: 2", "sharedBudget: some") }, {});
    EXPECT_EQ(loaded.diagnostics().size(), 1U) << describe(loaded.diagnostics());
}

TEST(Load, SharedBudgetLargerThanLent)
{
    EXPECT_EQ(firstMistake(replaced(base, "sharedBudget: 2", "sharedBudget: 3")),
        "b:3:15: sharedBudget: 3 is more than all pools may lend together, 2");
}

TEST(Load, KindInTwoPools)
{
    const std::string second = "  - {name: hall, workers: 2, kinds: [{name: letters}]}\nsites:";
    EXPECT_EQ(firstMistake(replaced(base, "sites:", second)),
        "b:11:37: pools[1].kinds: kind 'letters' belongs to pool 'office' already, expected one pool for each kind");
}

TEST(Load, ShareOutOfRange)
{
    EXPECT_EQ(firstMistake(replaced(base, "mayLend: 2", "retryBudget: 1.5")),
        "b:8:18: pools[0].retryBudget: '1.5', expected a number from 0 to 1");
    EXPECT_EQ(firstMistake(base + "teams: [{name: a, share: 0}]\n"),
        "b:14:26: teams[0].share: '0', expected a number above 0 to 1000");
    EXPECT_EQ(firstMistake(replaced(base, "mayLend: 2", "retryBudget: nan")),
        "b:8:18: pools[0].retryBudget: 'nan', expected a number from 0 to 1");
}

TEST(Load, FloorSharesAddUpToMoreThanOne)
{
    const std::string kinds = "letters\n        floorShare: 0.6\n      - {name: calls, floorShare: 0.5}\n";
    EXPECT_EQ(firstMistake(replaced(base, "letters\n", kinds)),
        "b:10:7: pools[0].kinds: the floorShare of all kinds adds up to 1.1, expected at most 1");
}

TEST(Load, SparePoolUnknown)
{
    EXPECT_EQ(firstMistake(replaced(base, "sparePool: office", "sparePool: attic")),
        "b:2:12: sparePool: pool 'attic' is not defined, expected one of pools");
}

TEST(Overlay, SiteNotInBase)
{
    EXPECT_EQ(overlayMistake("site: berlin\n"), "o:1:7: site: site 'berlin' is not in the base, expected one that is");
}

TEST(Overlay, PoolNotInBase)
{
    EXPECT_EQ(overlayMistake("site: munich\npools:\n  - name: attic\n    workers: 3\n"),
        "o:3:11: pools[0].name: pool 'attic' is not in the base, expected one that is");
}

TEST(Overlay, KindsBelongToTheBase)
{
    EXPECT_EQ(overlayMistake("site: munich\npools: [{name: office, kinds: []}]\n").substr(0, 38),
        "o:2:24: pools[0].kinds: unknown key, e");
}

TEST(Overlay, LimitThatDoesNotFitTheBase)
{
    EXPECT_EQ(overlayMistake("site: munich\npools: [{name: office, workers: 6}]\n"),
        "o:2:33: pools[0].workers: minAvailable 7 is more than the pool's 6 workers");
}

TEST(Overlay, TwoForOneSite)
{
    EXPECT_EQ(firstMistake(base, { { "o", "site: munich\n" }, { "p", "site: munich\n" } }),
        "p:1:7: site: site 'munich' has the overlay o already, expected one");
}

TEST(Overlay, SamePoolTwice)
{
    EXPECT_EQ(overlayMistake("site: munich\npools: [{name: office}, {name: office}]\n"),
        "o:2:32: pools[1].name: pool 'office' is adjusted twice, expected it once");
}

TEST(Diff, ShowsEachTypeOfChange)
{
    const auto before = load({ "b", base + "teams: [{name: a}]\n" }, {});
    const auto after = load({ "b", replaced(base, "workers: 10", "workers: 12") + "teams: [{name: c}]\n" },
        { { "o", "site: munich\npools: [{name: office, maxQueued: 5}]\n" } });
    std::string text;
    for (const Change& change : diff(before.value(), after.value()))
        text += describe(change) + "\n";
    EXPECT_EQ(text,
        "~ pools.office.workers: 10 -> 12\n"
        "+ sites.munich.pools.office.maxQueued: 5\n"
        "- teams.a.share: 1\n"
        "+ teams.c.share: 1\n");
}
