#include "rattanrack/node/fleet_store.h"

#include <gtest/gtest.h>

using namespace rattanrack;

TEST(FleetStore, ConditionsCoverRowsThatAreOnlyRequired)
{
    policy::FleetChange change;
    policy::VmRecord vm;
    vm.id = VmId { "a" };
    vm.pool = PoolId { "p" };
    vm.version = 7;
    change.vms.push_back(vm);
    policy::RollOutRecord rollOut;
    rollOut.id = RollOutId { "r" };
    rollOut.version = 9;
    change.required.push_back(rollOut);
    const auto transaction = node::transactionOf(change);
    ASSERT_EQ(transaction.conditions.size(), 2U);
    EXPECT_EQ(transaction.conditions[0].key, "vm/a");
    EXPECT_EQ(transaction.conditions[0].version, 7U);
    EXPECT_EQ(transaction.conditions[1].key, "rollout/r");
    EXPECT_EQ(transaction.conditions[1].version, 9U);
    EXPECT_EQ(transaction.writes.size(), 1U);
}
