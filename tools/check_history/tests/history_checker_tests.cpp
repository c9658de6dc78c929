#include "history_checker.h"

#include "rattanrack/policy/claim_row_codec.h"
#include "rattanrack/policy/fleet_rows.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using tools::HistoryChecker;

namespace {

policy::VmRecord servingVm(std::uint64_t epoch)
{
    return { .id = VmId { "v" },
        .pool = PoolId { "a" },
        .homePool = PoolId { "a" },
        .epoch = epoch,
        .phase = policy::VmPhase::Serving };
}

policy::PoolRecord poolOf(std::uint32_t members, std::uint32_t permits, std::uint32_t floor)
{
    policy::PoolRecord pool { .id = PoolId { "a" } };
    pool.settings = { .desired = 2, .floor = floor, .maxPlannedDown = 1 };
    pool.counts.members = members;
    pool.counts.permits = permits;
    return pool;
}

platform::Write writeOf(const policy::VmRecord& vm) { return { policy::vmKey(vm.id), policy::encode(vm) }; }

platform::Write writeOf(const policy::PoolRecord& pool) { return { policy::poolKey(pool.id), policy::encode(pool) }; }

platform::Write claimRow(std::uint64_t sequence, const policy::Claim& claim)
{
    return { "claims/0/" + std::to_string(sequence), policy::encodeClaimRow(NodeId { "n" }, sequence, { claim }) };
}

} // namespace

TEST(HistoryChecker, AcceptsAPermitWithinTheBudget)
{
    HistoryChecker checker;
    checker.apply({ {}, { writeOf(servingVm(1)), writeOf(poolOf(1, 0, 0)) } }, 1);
    policy::VmRecord draining = servingVm(2);
    draining.phase = policy::VmPhase::Draining;
    draining.holdsPermit = true;
    checker.apply({ {}, { writeOf(draining), writeOf(poolOf(1, 1, 0)) } }, 2);
    EXPECT_TRUE(checker.violations().empty()) << checker.violations().front();
}

TEST(HistoryChecker, FindsAPermitThatBreaksTheFloor)
{
    HistoryChecker checker;
    policy::VmRecord draining = servingVm(2);
    draining.phase = policy::VmPhase::Draining;
    draining.holdsPermit = true;
    checker.apply({ {}, { writeOf(draining), writeOf(poolOf(1, 1, 1)) } }, 1);
    EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(HistoryChecker, FindsCountsThatAreNotThoseOfTheVms)
{
    HistoryChecker checker;
    checker.apply({ {}, { writeOf(servingVm(1)), writeOf(poolOf(2, 0, 0)) } }, 1);
    EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(HistoryChecker, FindsAMoveOfAServingVm)
{
    HistoryChecker checker;
    checker.apply({ {}, { writeOf(servingVm(3)) } }, 1);
    policy::VmRecord moved = servingVm(3);
    moved.pool = PoolId { "b" };
    checker.apply({ {}, { writeOf(moved) } }, 2);
    EXPECT_EQ(checker.violations().size(), 2U) << "it serves, and its epoch is the old one";
}

TEST(HistoryChecker, FindsAConfigurationThatGoesBack)
{
    HistoryChecker checker;
    checker.apply({ {}, { { "config/head", R"({"version":1})" } } }, 1);
    checker.apply({ {}, { { "config/head", R"({"version":2})" } } }, 2);
    EXPECT_TRUE(checker.violations().empty());
    checker.apply({ {}, { { "config/head", R"({"version":1})" } } }, 3);
    EXPECT_EQ(checker.violations().size(), 1U);
}

TEST(HistoryChecker, FindsAClaimThatPassesOnWhileItMayRun)
{
    HistoryChecker checker;
    policy::Claim claim { IdempotencyKey { "k" }, 1, AttemptId { "a" }, NodeId { "n" } };
    checker.apply({ {}, { claimRow(1, claim) } }, 1);
    claim.state = policy::ClaimState::Withdrawn;
    checker.apply({ {}, { claimRow(2, claim) } }, 2);
    claim.attempt = AttemptId { "b" };
    claim.state = policy::ClaimState::Claimed;
    checker.apply({ {}, { claimRow(3, claim) } }, 3);
    EXPECT_TRUE(checker.violations().empty());
    claim.attempt = AttemptId { "c" };
    checker.apply({ {}, { claimRow(4, claim) } }, 4);
    EXPECT_EQ(checker.violations().size(), 1U);
}
