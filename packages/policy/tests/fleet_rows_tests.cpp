#include "rattanrack/policy/fleet_rows.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace rattanrack;
using namespace rattanrack::policy;

namespace {

template <typename Enum> Enum anyOf(Enum last)
{
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

std::string anyText() { return *rc::gen::container<std::string>(rc::gen::inRange<char>(32, 126)); }

std::uint32_t anyNumber() { return *rc::gen::arbitrary<std::uint32_t>(); }

VmRecord anyVm()
{
    VmRecord vm;
    vm.id = VmId { "v" + anyText() };
    vm.pool = PoolId { "p" + anyText() };
    vm.homePool = PoolId { anyText() };
    vm.targetPool = PoolId { anyText() };
    vm.rack = RackId { anyText() };
    vm.dataCenter = DataCenterId { anyText() };
    vm.epoch = *rc::gen::arbitrary<std::uint64_t>();
    vm.phase = anyOf(VmPhase::Leaving);
    vm.purpose = anyOf(DrainPurpose::Move);
    vm.holdsPermit = *rc::gen::arbitrary<bool>();
    vm.operation = RollOutId { anyText() };
    vm.completed = { RollOutId { anyText() }, RollOutId { anyText() } };
    vm.bootId = *rc::gen::arbitrary<std::uint64_t>();
    vm.revision = *rc::gen::arbitrary<std::uint64_t>();
    vm.attempt = AttemptId { anyText() };
    vm.version = anyNumber();
    return vm;
}

bool isMalformed(const std::string& key, const std::string& text)
{
    return handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodeVm(key, text, 1));
            return false;
        },
        [&](const Error& error) { return error.code == ErrorCode::MalformedMessage && error.peer == key; });
}

template <typename Operation> auto valueOf(Operation operation)
{
    using Value = std::decay_t<decltype(operation().value())>;
    return handle(operation, [](const Error& error) -> Value { throw std::runtime_error { describe(error) }; });
}

} // namespace

RC_GTEST_PROP(FleetRows, VmRoundTrips, ())
{
    const VmRecord vm = anyVm();
    RC_ASSERT(valueOf([&] { return decodeVm(vmKey(vm.id), encode(vm), vm.version); }) == vm);
}

RC_GTEST_PROP(FleetRows, PoolRoundTrips, ())
{
    PoolRecord pool;
    pool.id = PoolId { "p" + anyText() };
    pool.settings = { anyNumber(), anyNumber(), anyNumber(), anyNumber(), anyNumber(), anyOf(FailureDomain::DataCenter),
        anyNumber() };
    pool.counts = { 1000, 3, 4, 5, anyNumber(), anyNumber(), *rc::gen::arbitrary<std::uint64_t>() };
    pool.attempt = AttemptId { anyText() };
    RC_ASSERT(valueOf([&] { return decodePool(poolKey(pool.id), encode(pool), 0); }) == pool);
}

RC_GTEST_PROP(FleetRows, RollOutRoundTrips, ())
{
    RollOutRecord rollOut;
    rollOut.id = RollOutId { "r" + anyText() };
    rollOut.kind = anyOf(RollOutKind::Move);
    rollOut.state = anyOf(RollOutState::Finished);
    rollOut.targets = { VmId { anyText() }, VmId { anyText() } };
    rollOut.targetPool = PoolId { anyText() };
    rollOut.maxAtOnce = anyNumber();
    rollOut.done = anyNumber();
    rollOut.startedBy = OperatorId { anyText() };
    RC_ASSERT(valueOf([&] { return decodeRollOut(rollOutKey(rollOut.id), encode(rollOut), 0); }) == rollOut);
}

TEST(FleetRows, BorrowingRoundTrips)
{
    const BorrowingRecord borrowing { 7, 3, 9, AttemptId { "n/1" }, 4 };
    EXPECT_EQ(valueOf([&] { return decodeBorrowing(borrowingKey, encode(borrowing), 4); }), borrowing);
}

TEST(FleetRows, MalformedTextIsAnError)
{
    VmRecord vm;
    vm.id = VmId { "a" };
    vm.pool = PoolId { "p" };
    const std::string good = encode(vm);
    EXPECT_FALSE(isMalformed("vm/a", good));
    EXPECT_TRUE(isMalformed("vm/b", good));
    for (std::size_t length = 0; length < good.size(); ++length)
        EXPECT_TRUE(isMalformed("vm/a", good.substr(0, length)));
    const auto with = [&](const std::string& from, const std::string& to) {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    EXPECT_TRUE(isMalformed("vm/a", with("\"epoch\":0", "\"epoch\":-1")));
    EXPECT_TRUE(isMalformed("vm/a", with("\"epoch\":0", "\"epoch\":1e99")));
    EXPECT_TRUE(isMalformed("vm/a", with("returning", "resting")));
    EXPECT_TRUE(isMalformed("vm/a", with("\"pool\":\"p\"", "\"pool\":\"\"")));
    EXPECT_TRUE(isMalformed("vm/a", "[]"));
}

TEST(FleetRows, CountsThatContradictEachOtherAreAnError)
{
    PoolRecord pool;
    pool.id = PoolId { "p" };
    pool.counts.permits = 1;
    EXPECT_TRUE(handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodePool("pool/p", encode(pool), 1));
            return false;
        },
        [](const Error& error) { return error.code == ErrorCode::MalformedMessage; }));
}
