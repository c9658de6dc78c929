#include "rattanrack/policy/fleet_commands.h"
#include "rattanrack/policy/fleet_planner.h"

#include <gtest/gtest.h>

#include <set>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

/// A table, workers and a clock for one planner, all of them perfect.
class Fleet {
public:
    explicit Fleet(std::uint32_t workers, PoolSettings settings = { 0, 1, 1 })
    {
        settings.desired = workers;
        snapshot.settings[PoolId { "a" }] = settings;
        snapshot.settings[PoolId { "b" }] = { 0, 0, 1, 1, 1 };
        snapshot.sparePool = PoolId { "a" };
        snapshot.sharedBudget = 1;
        snapshot.configVersion = 1;
        snapshot.hasList = true;
        for (std::uint32_t i = 0; i < workers; ++i)
            addWorker(VmId { "v" + std::to_string(i) }, "r" + std::to_string(i % 4), "d" + std::to_string(i % 2));
        run(20);
    }

    void addWorker(const VmId& id, const std::string& rack, const std::string& dataCenter)
    {
        snapshot.listed[id] = { id, RackId { rack }, DataCenterId { dataCenter }, false };
        snapshot.observations[id] = { ++boots, 0, true, 0, now };
    }

    void commit(const FleetChange& change)
    {
        const auto store = [&](auto& rows, const auto& records) {
            for (auto record : records) {
                const auto stored = rows.find(record.id);
                ASSERT_EQ(stored == rows.end() ? 0 : stored->second.version, record.version);
                record.version = ++version;
                rows[record.id] = record;
            }
        };
        store(snapshot.vms, change.vms);
        store(snapshot.pools, change.pools);
        store(snapshot.rollOuts, change.rollOuts);
        for (const auto& vm : change.removedVms)
            snapshot.vms.erase(vm.id);
        for (auto borrowing : change.borrowing) {
            borrowing.version = ++version;
            snapshot.borrowing = borrowing;
        }
    }

    void command(const WorkerCommand& order)
    {
        auto& worker = snapshot.observations.at(order.vm);
        if (order.bootId != worker.bootId || order.epoch < worker.epoch)
            return;
        if (order.action == WorkerAction::Reboot)
            worker = { ++boots, 0, true, 0, now };
        if (order.action == WorkerAction::StopTakingWork || order.action == WorkerAction::TakeWork) {
            worker.epoch = order.epoch;
            worker.isDraining = order.action == WorkerAction::StopTakingWork;
        }
    }

    void step(const std::vector<MoveWish>& wishes = {})
    {
        now += 1s;
        for (auto& [id, worker] : snapshot.observations)
            worker.heardAt = silent.contains(id) ? worker.heardAt : now;
        for (const auto& step : planner.plan(snapshot, now, wishes)) {
            if (const auto* change = std::get_if<FleetChange>(&step))
                commit(*change);
            else
                command(std::get<WorkerCommand>(step));
        }
    }

    void run(int steps, const std::vector<MoveWish>& wishes = {})
    {
        for (int i = 0; i < steps; ++i)
            step(wishes);
    }

    void start(RollOutKind kind, std::vector<VmId> targets, const std::string& targetPool = "")
    {
        const StartRollOut request { RollOutId { "r" }, kind, std::move(targets), PoolId { targetPool } };
        commit(std::get<FleetChange>(startRollOut(snapshot, request, planner.nextAttempt())));
    }

    VmRecord& vm(const std::string& id) { return snapshot.vms.at(VmId { id }); }
    PoolRecord& pool(const std::string& id) { return snapshot.pools.at(PoolId { id }); }
    RollOutState state() { return snapshot.rollOuts.at(RollOutId { "r" }).state; }

    TimePoint now { 100s };
    FleetSnapshot snapshot;
    FleetPlanner planner { NodeId { "n" } };
    std::set<VmId> silent;
    std::uint64_t boots { 0 };
    RecordVersion version { 0 };
};

} // namespace

TEST(FleetPlanner, AdoptsListedVmsIntoThePoolThatLacksThem)
{
    Fleet fleet { 4 };
    EXPECT_EQ(fleet.pool("a").counts.serving(), 4);
    EXPECT_EQ(fleet.vm("v0").phase, VmPhase::Serving);
}

TEST(FleetPlanner, AdoptsNothingBeforeEveryPoolHasItsRow)
{
    Fleet fleet { 0 };
    fleet.snapshot.settings[PoolId { "late" }] = { 2, 0, 1, 1, 1 };
    fleet.addWorker(VmId { "v0" }, "r0", "d0");
    fleet.addWorker(VmId { "v1" }, "r1", "d1");
    fleet.step();
    EXPECT_TRUE(fleet.snapshot.vms.empty());
    fleet.run(20);
    EXPECT_EQ(fleet.vm("v0").pool, PoolId { "late" });
    EXPECT_EQ(fleet.vm("v1").pool, PoolId { "late" });
}

TEST(FleetPlanner, RebootsEveryTargetOnceWithinThePermits)
{
    Fleet fleet { 6, { 0, 3, 2 } };
    const auto boots = fleet.boots;
    fleet.start(RollOutKind::Reboot, vmsIn(fleet.snapshot, DataCenterId { "d0" }, {}));
    for (int i = 0; i < 40; ++i) {
        fleet.step();
        ASSERT_LE(fleet.pool("a").counts.permits, 2);
    }
    EXPECT_EQ(fleet.state(), RollOutState::Finished);
    EXPECT_EQ(fleet.boots, boots + 3);
}

TEST(FleetPlanner, WaitsForRunningWorkBeforeAReboot)
{
    Fleet fleet { 4 };
    fleet.snapshot.observations.at(VmId { "v0" }).busySlots = 1;
    fleet.start(RollOutKind::Reboot, { VmId { "v0" } });
    fleet.run(30);
    EXPECT_EQ(fleet.vm("v0").phase, VmPhase::Draining);
    fleet.snapshot.observations.at(VmId { "v0" }).busySlots = 0;
    fleet.run(10);
    EXPECT_EQ(fleet.state(), RollOutState::Finished);
}

TEST(FleetPlanner, CountsFailuresAgainstThePermitsAtOnce)
{
    Fleet fleet { 4 };
    fleet.silent.insert(VmId { "v1" });
    fleet.run(2);
    fleet.start(RollOutKind::Reboot, { VmId { "v0" } });
    fleet.run(20);
    EXPECT_EQ(fleet.vm("v1").phase, VmPhase::Failed);
    EXPECT_EQ(fleet.vm("v0").phase, VmPhase::Serving);
    fleet.silent.clear();
    fleet.run(20);
    EXPECT_EQ(fleet.state(), RollOutState::Finished);
}

TEST(FleetPlanner, KeepsTheFloorThroughLossOfADataCenter)
{
    Fleet fleet { 4, { 0, 2, 4, 0, 0, FailureDomain::DataCenter } };
    EXPECT_EQ(explain(fleet.snapshot, VmId { "v0" }, fleet.now), FleetRefusal::DomainLossNotCovered);
}

TEST(FleetPlanner, MovesAVmUnderANewEpochAndCountsTheLoan)
{
    Fleet fleet { 4, { 0, 1, 1, 0, 1 } };
    const auto epoch = fleet.vm("v0").epoch;
    fleet.run(20, { { VmId { "v0" }, PoolId { "b" } } });
    EXPECT_EQ(fleet.vm("v0").pool, PoolId { "b" });
    EXPECT_EQ(fleet.vm("v0").phase, VmPhase::Serving);
    EXPECT_GT(fleet.vm("v0").epoch, epoch);
    EXPECT_EQ(fleet.pool("b").counts.borrowed, 1);
    EXPECT_EQ(fleet.pool("a").counts.lent, 1);
    EXPECT_EQ(fleet.snapshot.borrowing.inUse, 1);
}

TEST(FleetPlanner, LendsNoMoreThanTheLimit)
{
    Fleet fleet { 4 };
    fleet.run(20, { { VmId { "v0" }, PoolId { "b" } } });
    EXPECT_EQ(fleet.vm("v0").pool, PoolId { "a" });
}

TEST(FleetCommands, RefusesWhatCanNeverHappen)
{
    Fleet fleet { 2, { 0, 2, 1 } };
    const StartRollOut request { RollOutId { "r" }, RollOutKind::Reboot, { VmId { "v0" } } };
    const auto answer = startRollOut(fleet.snapshot, request, AttemptId { "x" });
    EXPECT_EQ(std::get<CommandRefused>(answer), (CommandRefused { FleetRefusal::FloorReached, "v0" }));
}

TEST(FleetCommands, AbortReturnsDrainedVms)
{
    Fleet fleet { 4 };
    fleet.start(RollOutKind::Drain, { VmId { "v0" } });
    fleet.run(10);
    EXPECT_EQ(fleet.vm("v0").phase, VmPhase::Empty);
    fleet.commit(std::get<FleetChange>(abortRollOut(fleet.snapshot, RollOutId { "r" }, AttemptId { "x" })));
    fleet.run(10);
    EXPECT_EQ(fleet.vm("v0").phase, VmPhase::Serving);
    EXPECT_EQ(fleet.pool("a").counts.permits, 0);
}

TEST(FleetChange, SettlesALostAnswerByTheAttempt)
{
    Fleet fleet { 4 };
    const StartRollOut request { RollOutId { "r" }, RollOutKind::Reboot, { VmId { "v0" } } };
    const auto change = std::get<FleetChange>(startRollOut(fleet.snapshot, request, AttemptId { "x" }));
    EXPECT_EQ(settle(change, fleet.snapshot), ChangeFate::Open);
    fleet.commit(change);
    EXPECT_EQ(settle(change, fleet.snapshot), ChangeFate::Applied);
    fleet.commit(std::get<FleetChange>(pauseRollOut(fleet.snapshot, RollOutId { "r" }, AttemptId { "y" })));
    EXPECT_EQ(settle(change, fleet.snapshot), ChangeFate::Overtaken);
}
