#include "quota_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace rattanrack::jobs::tests;
using namespace std::chrono_literals;

namespace {

const CustomerId customer { "a" };
constexpr std::uint64_t version = 7;

ResourceSize millicores(std::int64_t count) { return { Millicores { count }, {}, {} }; }

/// One cell with its owner, whose calls to the store end at once unless the test says otherwise.
struct Owner {
    Owner(QuotaStore& quotaStore, const char* cell, Fence term = 1, std::size_t cells = 2)
        : store(quotaStore)
        , quotas(PoolId { cell }, term)
    {
        quotas.configure({ version, cells, true });
    }

    void step(TimePoint now)
    {
        if (quotas.isReadDue(now)) {
            quotas.onReadSent(now);
            quotas.onRead(store.read(), now);
        }
        if (const auto transaction = next(now))
            quotas.onOutcome(store.commit(*transaction), now);
    }

    std::optional<PartTransaction> next(TimePoint now) { return quotas.nextTransaction({ use }, uncontacted, now); }
    std::int64_t limit() const { return quotas.limitOf(use, uncontacted).size.processors.count(); }

    QuotaStore& store;
    CellQuotas quotas;
    /// `cores` wait for the quota, in tasks of `unit` each.
    void demand(std::int64_t cores, std::int64_t unit = 50)
    {
        use.waiting = millicores(cores);
        use.unit = millicores(cores > 0 ? unit : 0);
    }

    CustomerUse use { customer, millicores(1000), {}, {}, {} };
    ResourceSize uncontacted;
};

/// Steps all owners for some time.
void play(std::initializer_list<Owner*> owners, TimePoint& now, Duration time)
{
    for (const TimePoint end = now + time; now < end; now += 30ms) {
        for (Owner* owner : owners)
            owner->step(now);
    }
}

} // namespace

TEST(CellQuotas, EachCellTakesItsFairPartBeforehand)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    EXPECT_EQ(a.limit(), 0); // Nothing is known yet.
    play({ &a, &b }, now, 300ms);
    EXPECT_EQ(a.limit(), 500);
    EXPECT_EQ(b.limit(), 500);
}

TEST(CellQuotas, LoneBusyCellGetsTheWholeQuotaWithinTwoSeconds)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    play({ &a, &b }, now, 1s);
    a.use.used = millicores(500);
    a.demand(5000);
    play({ &a, &b }, now, 2s);
    EXPECT_EQ(a.limit(), 1000);
}

TEST(CellQuotas, TwoBusyCellsShareTheQuota)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    a.demand(5000);
    play({ &a, &b }, now, 3s);
    a.use.used = millicores(1000);
    b.demand(5000);
    RowVersion before = 0;
    for (int steps = 0; steps < 60; ++steps) { // Tasks of the first cell end, and others start where the limit permits.
        a.use.used = millicores(a.use.used.processors.count() - 20);
        play({ &a, &b }, now, 150ms);
        a.use.used = millicores(std::max(a.use.used.processors.count(), a.limit()));
        b.use.used = millicores(b.limit());
        EXPECT_LE(a.use.used.processors.count() + b.use.used.processors.count(), 1000);
        before = steps == 50 ? store.read().version : before;
    }
    EXPECT_EQ(a.limit(), 500);
    EXPECT_EQ(b.limit(), 500);
    EXPECT_LE(store.read().version - before, 2U); // Nothing is returned and taken back again and again.
}

TEST(CellQuotas, CellsWhoseTasksNeedMoreThanTheirPartTakeTurns)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    play({ &a, &b }, now, 1s);
    std::map<Owner*, int> starts;
    for (int steps = 0; steps < 200; ++steps) {
        for (Owner* owner : { &a, &b }) {
            const bool isStarting = owner->use.used == ResourceSize {} && owner->limit() >= 600;
            starts[owner] += isStarting ? 1 : 0;
            owner->use.used = millicores(isStarting ? 600 : 0); // The task ends within one step.
            owner->demand(600, 600);
        }
        EXPECT_LE(a.use.used.processors.count() + b.use.used.processors.count(), 1000);
        play({ &a, &b }, now, 300ms);
    }
    EXPECT_GT(starts[&a], 5);
    EXPECT_GT(starts[&b], 5);
}

TEST(CellQuotas, ReadThatArrivesBeforeAConflictKeepsWhatEarlierOwnersMayRun)
{
    QuotaStore store;
    Owner first { store, "a" };
    Owner other { store, "b" };
    TimePoint now { 1000s };
    play({ &first, &other }, now, 300ms);
    Owner next { store, "a", 2 };
    next.uncontacted = millicores(300);
    next.quotas.onReadSent(now);
    next.quotas.onRead(store.read(), now);
    const auto claim = next.next(now);
    ASSERT_TRUE(claim);
    other.use.used = millicores(500);
    other.demand(700);
    play({ &other }, now, 500ms);
    const TransactionOutcome conflict = store.commit(*claim);
    ASSERT_EQ(conflict.status, TransactionStatus::Conflict);
    other.demand(0);
    play({ &other }, now, 2s); // Another version, which the read shows before the conflict arrives.
    next.quotas.onReadSent(now);
    next.quotas.onRead(store.read(), now);
    next.quotas.onOutcome(conflict, now);
    play({ &next }, now, 300ms);
    EXPECT_EQ(next.limit(), 200);
}

TEST(CellQuotas, NothingStartsOnAnAddedQuotaBeforeTheOtherCellsHaveBeenRead)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    a.use.used = millicores(800); // Had no quota before.
    play({ &b }, now, 300ms);
    b.use.used = millicores(300);
    play({ &a }, now, 100ms);
    play({ &b }, now, 1s);
    EXPECT_LE(b.limit(), 300);
}

TEST(CellQuotas, NothingBeyondTheAllotmentIsTakenWhileTheStoreIsAway)
{
    QuotaStore store;
    Owner a { store, "a" };
    TimePoint now { 1000s };
    play({ &a }, now, 300ms);
    a.demand(5000);
    for (int tries = 0; tries < 20; ++tries, now += 200ms) {
        if (a.next(now))
            a.quotas.onOutcome({ TransactionStatus::Unavailable }, now);
        EXPECT_EQ(a.limit(), 500);
    }
}

TEST(CellQuotas, TransactionWithoutResponseGrantsNothingUntilItIsResolved)
{
    QuotaStore store;
    Owner a { store, "a" };
    TimePoint now { 1000s };
    play({ &a }, now, 300ms);
    a.demand(5000);
    const auto transaction = a.next(now);
    ASSERT_TRUE(transaction);
    ASSERT_EQ(store.commit(*transaction).status, TransactionStatus::Done);
    a.quotas.onOutcome({ TransactionStatus::Unknown }, now);
    EXPECT_EQ(a.limit(), 500);
    play({ &a }, now, 500ms); // The transaction is sent again, conflicts with itself, and shows the row.
    EXPECT_EQ(a.limit(), 1000);
}

TEST(CellQuotas, OwnerThatMayBeReducingItsPartStartsNothingAboveTheSmallerOne)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    a.demand(5000);
    play({ &a, &b }, now, 3s);
    a.demand(0);
    a.use.used = millicores(100);
    b.demand(5000);
    b.step(now += 300ms);
    a.quotas.onReadSent(now);
    a.quotas.onRead(store.read(), now);
    ASSERT_TRUE(a.next(now)); // Its outcome never arrives.
    EXPECT_LE(a.limit(), 100);
}

TEST(CellQuotas, NextOwnerClaimsTheEntryBeforeItStartsAnything)
{
    QuotaStore store;
    Owner first { store, "a" };
    TimePoint now { 1000s };
    play({ &first }, now, 300ms);
    Owner second { store, "a", 2 };
    second.uncontacted = millicores(200);
    second.quotas.onReadSent(now);
    second.quotas.onRead(store.read(), now);
    EXPECT_EQ(second.limit(), 0);
    play({ &second }, now, 300ms);
    EXPECT_EQ(second.limit(), 300); // What may run on workers that have not been contacted is left out.
    second.uncontacted = {};
    EXPECT_EQ(second.limit(), 500);
    first.demand(5000);
    play({ &first }, now, 1s);
    EXPECT_TRUE(first.quotas.isReplaced());
    EXPECT_EQ(first.limit(), 0);
}

TEST(CellQuotas, RemovedRowIsNotTakenFromAnOlderRead)
{
    QuotaStore store;
    Owner a { store, "a", 1, 100 };
    TimePoint now { 1000s };
    a.demand(500);
    play({ &a }, now, 300ms);
    const RowPage older = store.read();
    a.demand(0);
    a.quotas.configure({ version, 100, false });
    play({ &a }, now, 3s);
    ASSERT_TRUE(store.read().rows.empty());
    a.quotas.onReadSent(now);
    a.quotas.onRead(older, now);
    EXPECT_EQ(a.limit(), 0);
}

TEST(CellQuotas, LoweredQuotaHoldsForAllCellsTogether)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    play({ &a, &b }, now, 300ms);
    a.use.used = millicores(500);
    for (Owner* owner : { &a, &b }) {
        owner->use.quota = millicores(400);
        owner->quotas.configure({ version + 1, 2, true });
        owner->demand(5000);
    }
    (void)a.next(now);
    (void)b.next(now);
    EXPECT_LE(b.limit(), 0); // The other cell uses more than the quota alone.
    for (Owner* owner : { &a, &b })
        owner->quotas.onOutcome({ TransactionStatus::Unavailable }, now);
    for (int steps = 0; steps < 20; ++steps) {
        play({ &b, &a }, now, 300ms);
        const std::int64_t usedByA = a.use.used.processors.count();
        EXPECT_LE(std::max(usedByA, a.limit()) + b.limit(), std::max<std::int64_t>(usedByA, 400));
        a.use.used = millicores(std::max(usedByA - 50, a.limit()));
    }
    EXPECT_EQ(a.limit(), 200);
    EXPECT_EQ(b.limit(), 200);
}

TEST(CellQuotas, TaskLargerThanTheQuotaGetsAllOfIt)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    a.demand(1500, 1500);
    play({ &a, &b }, now, 3s);
    EXPECT_TRUE(a.quotas.limitOf(a.use, {}).isWholeQuota);
}

TEST(CellQuotas, SteadyUseCostsNoTransactions)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    play({ &a, &b }, now, 1s);
    const RowVersion before = store.read().version;
    for (int steps = 0; steps < 100; ++steps) {
        a.use.used = millicores(200 + steps % 7 * 30);
        b.use.used = millicores(400 - steps % 5 * 40);
        play({ &a, &b }, now, 300ms);
    }
    EXPECT_EQ(store.read().version, before);
}

TEST(CellQuotas, MalformedRowGrantsNothing)
{
    QuotaStore store;
    (void)store.commit({ quotaPart, {}, { { quotaRowKey(customer), "\xff" } } });
    Owner a { store, "a" };
    TimePoint now { 1000s };
    play({ &a }, now, 1s);
    EXPECT_EQ(a.limit(), 0);
}

TEST(QuotaRow, EncodedRowIsDecodedAgain)
{
    const ResourceSize granted { Millicores { 1 }, Mebibytes { 2 }, Accelerators { 3 } };
    const QuotaRow row { 9, millicores(1000), { { PoolId { "a" }, 3, granted, millicores(4) } } };
    EXPECT_EQ(valueOrNothing([&] { return decodeQuotaRow(encode(row)); }), row);
}

TEST(CellQuotas, OwnerWithAnEarlierConfigurationGrantsNothingBeyondALoweredQuota)
{
    QuotaStore store;
    Owner a { store, "a" };
    Owner b { store, "b" };
    TimePoint now { 1000s };
    play({ &a, &b }, now, 300ms);
    b.use.quota = millicores(400);
    b.quotas.configure({ version + 1, 2, true });
    play({ &b }, now, 300ms);
    a.use.used = millicores(500);
    a.demand(5000);
    play({ &a, &b }, now, 2s);
    EXPECT_LE(a.limit(), 500);
    EXPECT_EQ(b.limit(), 0);
}
