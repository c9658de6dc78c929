#include "rattanrack/jobs/owned_part.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

const NodeId self { "n1" };
const PoolId pool { "p" };

/// Response of a store where an earlier transmission of a transaction took effect.
TransactionOutcome conflictShowing(const OwnerRow& row, RowVersion version)
{
    return { TransactionStatus::Conflict, 0, { { { ownerTable, ownerKey }, encode(row), version } }, {} };
}

} // namespace

TEST(OwnedPart, TermGrowsWithEachOwner)
{
    OwnedPart first { pool, self, std::nullopt, 0 };
    EXPECT_EQ(first.term(), 1);
    OwnedPart next { pool, NodeId { "n2" }, OwnerRow { self, 7, 3, {} }, 90 };
    EXPECT_EQ(next.term(), 8);
    next.beginTransaction({}, {});
    EXPECT_EQ(next.transaction().conditions.at(0).version, 90U);
}

TEST(OwnedPart, EachTransactionExpectsTheVersionOfTheLastOne)
{
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({}, {});
    EXPECT_EQ(part.resolve({ TransactionStatus::Done, 5 }), OwnerWriteOutcome::Done);
    part.beginTransaction({ { { jobTable, "j" }, "value" } }, {});
    EXPECT_EQ(part.transaction().conditions.at(0).version, 5U);
    EXPECT_EQ(part.transaction().writes.size(), 2U);
}

TEST(OwnedPart, LostResponseIsResolvedByResendingTheTransaction)
{
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({}, {});
    const auto sent = part.transaction();
    EXPECT_EQ(part.resolve({ TransactionStatus::Unknown }), OwnerWriteOutcome::Unresolved);
    // The first transmission may still take effect.
    EXPECT_EQ(part.resolve({ TransactionStatus::Unavailable }), OwnerWriteOutcome::Unresolved);
    EXPECT_EQ(part.transaction().writes.at(0).value, sent.writes.at(0).value);
    const OwnerRow written { self, 1, 1, {} };
    EXPECT_EQ(part.resolve(conflictShowing(written, 6)), OwnerWriteOutcome::Done);
    part.beginTransaction({}, {});
    EXPECT_EQ(part.transaction().conditions.at(0).version, 6U);
}

TEST(OwnedPart, AnotherOwnerIsDetected)
{
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({}, {});
    EXPECT_EQ(part.resolve(conflictShowing({ NodeId { "n2" }, 1, 1, {} }, 6)), OwnerWriteOutcome::Lost);
}

TEST(OwnedPart, TransactionThatWasNotAppliedMayBeAbandoned)
{
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({ { { jobTable, "j" }, "value" } }, {});
    EXPECT_EQ(part.resolve({ TransactionStatus::Unavailable }), OwnerWriteOutcome::NotApplied);
    part.abandon();
    EXPECT_FALSE(part.isInFlight());
    part.beginTransaction({}, {});
    EXPECT_EQ(part.transaction().writes.size(), 1U);
}

/// Sent again unchanged, it would be rejected for ever.
TEST(OwnedPart, TransactionThatTheStoreRejectsIsOver)
{
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({ { { jobTable, "j" }, "value" } }, {});
    EXPECT_EQ(part.resolve({ TransactionStatus::Unknown }), OwnerWriteOutcome::Unresolved);
    EXPECT_EQ(part.resolve({ TransactionStatus::Refused }), OwnerWriteOutcome::Rejected);
    part.abandon();
    EXPECT_FALSE(part.isInFlight());
}

TEST(OwnedPart, AbandonedTransactionIsNotMistakenForTheNext)
{
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({ { { jobTable, "j" }, "value" } }, {});
    const std::string ownerRow = part.transaction().writes[0].value.value();
    EXPECT_EQ(part.resolve({ TransactionStatus::Unavailable }), OwnerWriteOutcome::NotApplied);
    part.abandon();
    part.beginTransaction({ { { jobTable, "k" }, "value" } }, {});
    // The abandoned transaction took effect all the same: the owner row is as it was written, the second row is not.
    const PartRow written { { ownerTable, ownerKey }, ownerRow, 7 };
    EXPECT_NE(part.resolve({ TransactionStatus::Conflict, 0, { written }, "" }), OwnerWriteOutcome::Done);
}

TEST(OwnedPart, HandedBackPartRecordsOutstandingLeases)
{
    const WorkerMachines workers { { WorkerId { "w1" }, MachineId { "m1" } } };
    OwnedPart part { pool, self, std::nullopt, 0 };
    part.beginTransaction({}, workers, OutstandingLeases { { WorkerId { "w1" }, 1200us } });
    const std::string bytes = part.transaction().writes.at(0).value.value();
    const OwnerRow row = valueOrNothing([&] { return decodeOwnerRow(bytes); }).value();
    EXPECT_TRUE(row.holder.isEmpty());
    // Rounded up: never less than the owner stated.
    EXPECT_EQ(row.outstandingLeases, (OutstandingLeases { { WorkerId { "w1" }, 2ms } }));
    OwnedPart next { pool, NodeId { "n2" }, row, 6 };
    next.beginTransaction({}, workers);
    const std::string taken = next.transaction().writes.at(0).value.value();
    EXPECT_TRUE(valueOrNothing([&] { return decodeOwnerRow(taken); }).value().outstandingLeases.empty());
}

TEST(OwnedPart, RowsOfOtherVersionsAreRead)
{
    nlohmann::json earlier { { "holder", "" }, { "term", 3 }, { "sequence", 4 },
        { "workers", nlohmann::json::array({ nlohmann::json::array({ "w1", "m1" }) }) } };
    const auto read = [](const nlohmann::json& json) {
        std::string bytes;
        nlohmann::json::to_cbor(json, bytes);
        return valueOrNothing([&] { return decodeOwnerRow(bytes); });
    };
    ASSERT_TRUE(read(earlier).has_value());
    EXPECT_TRUE(read(earlier)->outstandingLeases.empty()); // Not known to be handed back.
    EXPECT_EQ(read(earlier)->workers.size(), 1U);
    earlier["field of a later version"] = 1;
    EXPECT_TRUE(read(earlier).has_value());
    // A row without leases is written as earlier versions wrote it.
    const OwnerRow row { self, 1, 1, { { WorkerId { "w1" }, MachineId { "m1" } } }, {} };
    std::string bytes;
    nlohmann::json::to_cbor({ { "holder", "n1" }, { "term", 1 }, { "sequence", 1 },
                                { "workers", nlohmann::json::array({ nlohmann::json::array({ "w1", "m1" }) }) } },
        bytes);
    EXPECT_EQ(encode(row), bytes);
}

TEST(OwnedPart, RowKeepsHowLongEarlierOwnersMayGrantLeases)
{
    OwnerRow row { self, 7, 3, {} };
    EXPECT_EQ(valueOrNothing([&] { return decodeOwnerRow(encode(row)); }), row);
    row.earlierGrantsLeft = 1500ms;
    EXPECT_EQ(valueOrNothing([&] { return decodeOwnerRow(encode(row)); }), row);
}
