#include "rattanrack/policy/burn.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

const BurnSeries office { PoolId { "office" }, WorkKind { "letters" }, Urgency::Normal };
constexpr WallTime noon = 12h * 1000;

BurnObjective officeObjective(double target = 0.9, double weight = 1)
{
    return { office.pool, office.kind, weight, target, { 2s, 10s, 60s } };
}

BurnCounts countsIn(const BurnSummary& summary, BurnWindow window)
{
    BurnCounts counts;
    for (const WindowCounts& each : summary.windows)
        counts += each.window == window ? each.counts : BurnCounts {};
    return counts;
}

/// Rows as a table keeps them: the last write of a key wins.
class FakeTable {
public:
    void put(const BurnRow& row) { m_rows[rowName(row.key)] = encode(row); }

    std::vector<BurnRow> rows() const
    {
        std::vector<BurnRow> rows;
        for (const auto& [name, text] : m_rows) {
            auto row = decodeBurnRow(text);
            rows.push_back(row.value());
        }
        return rows;
    }

private:
    std::map<std::string, std::string> m_rows;
};

void writeAll(BurnLedger& ledger, FakeTable& table, WallTime now)
{
    while (const auto row = ledger.takeDueRow(now))
        table.put(*row);
}

WindowCounts windowCounts(BurnWindow window, std::uint64_t counted, std::uint64_t good)
{
    return { office, window, { counted, good } };
}

} // namespace

TEST(BurnGood, DependsOnOutcomeAndTheUrgencysLatency)
{
    const auto objective = officeObjective();
    EXPECT_EQ(isGood(objective, Urgency::Urgent, BurnOutcome::Done, 2s), true);
    EXPECT_EQ(isGood(objective, Urgency::Urgent, BurnOutcome::Done, 3s), false);
    EXPECT_EQ(isGood(objective, Urgency::Background, BurnOutcome::Done, 3s), true);
    EXPECT_EQ(isGood(objective, Urgency::Normal, BurnOutcome::NotRun, 0s), false);
    EXPECT_EQ(isGood(objective, Urgency::Normal, BurnOutcome::OutcomeUnknown, 0s), false);
    EXPECT_EQ(isGood(objective, Urgency::Normal, BurnOutcome::Cancelled, 0s), std::nullopt);
}

TEST(BurnLedger, RunningMinuteIsWrittenEveryFifteenSeconds)
{
    BurnLedger ledger { NodeId { "n" } };
    ledger.count(office, true, noon);
    EXPECT_EQ(ledger.takeDueRow(noon)->key.tier, BurnTier::Hour);
    EXPECT_EQ(ledger.takeDueRow(noon)->key.tier, BurnTier::Minute);
    ledger.count(office, true, noon + 1s);
    EXPECT_FALSE(ledger.takeDueRow(noon + 14s));
    EXPECT_EQ(ledger.takeDueRow(noon + 15s)->counts.at(office).counted, 2U);
    EXPECT_FALSE(ledger.takeDueRow(noon + 30s));
}

TEST(BurnLedger, FinishedMinuteGoesFirstAndLostWritesAreRepeated)
{
    BurnLedger ledger { NodeId { "n" } };
    ledger.count(office, true, noon);
    const auto hour = ledger.takeDueRow(noon);
    ledger.count(office, true, noon + 61s);
    const auto row = ledger.takeDueRow(noon + 62s);
    EXPECT_EQ(row->key.start, noon);
    ledger.putBack(row->key);
    EXPECT_EQ(ledger.takeDueRow(noon + 62s), row);
    EXPECT_EQ(ledger.takeDueRow(noon + 62s)->key.start, noon + 60s);
}

TEST(BurnLedger, ClockThatStepsBackNeverShrinksARow)
{
    BurnLedger ledger { NodeId { "n" } };
    ledger.count(office, true, noon + 1h);
    ledger.count(office, true, noon);
    FakeTable table;
    writeAll(ledger, table, noon + 2h);
    EXPECT_EQ(countsIn(summarize(table.rows(), noon + 1h), BurnWindow::FiveMinutes).counted, 2U);
}

TEST(BurnLedger, MemoryIsBoundedByRetention)
{
    BurnLedger ledger { NodeId { "n" } };
    std::size_t expired = 0;
    for (WallTime now = noon; now < noon + 200h; now += 1min) {
        ledger.count(office, true, now);
        expired += ledger.takeExpired(now).size();
    }
    EXPECT_EQ(expired, 200U * 60U - 65U + 200U - 74U);
}

TEST(BurnSummary, OneBucketIsNotCountedTwice)
{
    BurnRow early { { NodeId { "n" }, BurnTier::Minute, noon }, { { office, { 3, 1 } } } };
    BurnRow late { { NodeId { "n" }, BurnTier::Minute, noon }, { { office, { 5, 2 } } } };
    EXPECT_EQ(countsIn(summarize({ late, early, late }, noon), BurnWindow::FiveMinutes), (BurnCounts { 5, 2 }));
}

TEST(BurnSummary, ReplacedNodeKeepsItsShare)
{
    FakeTable table;
    for (const auto* const name : { "first", "second" }) {
        BurnLedger ledger { NodeId { name } };
        ledger.count(office, true, noon);
        writeAll(ledger, table, noon);
    }
    EXPECT_EQ(countsIn(summarize(table.rows(), noon), BurnWindow::ThreeDays).counted, 2U);
}

TEST(BurnSummary, WindowsForgetOldBuckets)
{
    FakeTable table;
    BurnLedger ledger { NodeId { "n" } };
    ledger.count(office, false, noon);
    writeAll(ledger, table, noon);
    const auto countedAt
        = [&](WallTime now, BurnWindow window) { return countsIn(summarize(table.rows(), now), window).counted; };
    EXPECT_EQ(countedAt(noon + 5min, BurnWindow::FiveMinutes), 1U);
    EXPECT_EQ(countedAt(noon + 6min, BurnWindow::FiveMinutes), 0U);
    EXPECT_EQ(countedAt(noon + 1h, BurnWindow::OneHour), 1U);
    EXPECT_EQ(countedAt(noon + 61min, BurnWindow::OneHour), 0U);
    EXPECT_EQ(countedAt(noon + 6h, BurnWindow::SixHours), 1U);
    EXPECT_EQ(countedAt(noon + 7h, BurnWindow::SixHours), 0U);
    EXPECT_EQ(countedAt(noon + 72h, BurnWindow::ThreeDays), 1U);
    EXPECT_EQ(countedAt(noon + 73h, BurnWindow::ThreeDays), 0U);
    EXPECT_EQ(countedAt(noon - 1h, BurnWindow::ThreeDays), 0U);
}

TEST(BurnAssessment, RateIsBadShareOverBudget)
{
    const auto burn = assess({ officeObjective(0.9) }, { windowCounts(BurnWindow::ThreeDays, 100, 80) });
    EXPECT_NEAR(burn.kinds[0].windows[3].rate, 2, 1e-9);
    EXPECT_NEAR(burn.kinds[0].budgetLeft, -1, 1e-9);
    EXPECT_EQ(burn.kinds[0].windows[0].rate, 0);
}

TEST(BurnAssessment, FederationWeighsEachRequestByItsKind)
{
    const BurnSeries hall { PoolId { "hall" }, WorkKind { "calls" }, Urgency::Urgent };
    const BurnObjective light { hall.pool, hall.kind, 1, 0.9, {} };
    const auto burn = assess({ officeObjective(0.9, 3), light },
        { windowCounts(BurnWindow::OneHour, 10, 10), { hall, BurnWindow::OneHour, { 10, 0 } } });
    EXPECT_NEAR(burn.windows[1].badShare, 0.25, 1e-9);
    EXPECT_NEAR(burn.windows[1].rate, 2.5, 1e-9);
}

TEST(BurnAssessment, AlertNeedsTheShortAndTheLongWindow)
{
    const auto alert = [](const std::vector<WindowCounts>& windows) {
        return assess({ officeObjective(0.99) }, windows).kinds[0].alert;
    };
    const auto fastShort = windowCounts(BurnWindow::FiveMinutes, 100, 80);
    EXPECT_EQ(alert({ fastShort }), BurnAlert::None);
    EXPECT_EQ(alert({ fastShort, windowCounts(BurnWindow::OneHour, 100, 80) }), BurnAlert::Fast);
    EXPECT_EQ(alert({ windowCounts(BurnWindow::SixHours, 100, 98), windowCounts(BurnWindow::ThreeDays, 100, 98) }),
        BurnAlert::Slow);
}

TEST(BurnRowCodec, RefusesWhatIsNotARow)
{
    for (const auto* const text :
        { "", "[]", "{}", R"({"node":"n","tier":"hour","start":0,"series":[["p","k",3,1,1]]})",
            R"({"node":"n","tier":"hour","start":0,"series":[["p","k",0,1,2]]})" })
        EXPECT_FALSE(decodeBurnRow(text)) << text;
}

/// Several nodes count, write, lose writes and are replaced in the middle; the table's sum must be what was counted.
RC_GTEST_PROP(BurnProperty, SumOverNodesIsWhatWasCounted, ())
{
    FakeTable table;
    WallTime now = noon;
    std::vector<BurnLedger> ledgers { BurnLedger { NodeId { "0" } }, BurnLedger { NodeId { "1" } } };
    std::uint64_t lives = ledgers.size();
    BurnCounts expected;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        BurnLedger& ledger = ledgers[static_cast<std::size_t>(step) % ledgers.size()];
        now += WallTime { step * 700 };
        if (step < 60) {
            ledger.count(office, step % 3 == 0, now);
            expected += BurnCounts { 1, step % 3 == 0 ? 1U : 0U };
        } else if (step < 80) {
            if (const auto row = ledger.takeDueRow(now); row && step % 2 == 0)
                table.put(*row);
            else if (row)
                ledger.putBack(row->key);
        } else if (step < 85) {
            writeAll(ledger, table, now + 2h);
            ledger = BurnLedger { NodeId { std::to_string(lives++) } };
        }
    }
    for (BurnLedger& ledger : ledgers)
        writeAll(ledger, table, now + 2h);
    RC_ASSERT(countsIn(summarize(table.rows(), now), BurnWindow::ThreeDays) == expected);
}
