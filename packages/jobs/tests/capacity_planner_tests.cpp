#include "rattanrack/jobs/capacity_planner.h"
#include "rattanrack/jobs/drain_announcements.h"
#include "rattanrack/jobs/offered_load.h"

#include <gtest/gtest.h>

using namespace rattanrack;
using namespace rattanrack::jobs;
using namespace std::chrono_literals;

namespace {

constexpr Duration moveTime = 1500ms;
constexpr std::int64_t machineSize = 16000;
const PoolId left { "left" };
const PoolId right { "right" };
const PoolId spare { "spare" };

/// Two pools of ten machines and six on standby, or `scale` times as many, in virtual time; a pool's demand is met as
/// far as its machines reach.
class Pools {
public:
    explicit Pools(int scale = 1)
    {
        for (int number = 0; number < 26 * scale; ++number) {
            const MachineId id { "m" + std::to_string(number) };
            const PoolId pool = number < 10 * scale ? left : number < 20 * scale ? right : spare;
            m_machines[id] = { { id, pool, MachineState::Up, "a", "r", { Millicores { machineSize }, {}, {} },
                pool == spare ? WorkerId {} : WorkerId { id.value() + "-1" } } };
        }
        m_plan.setPools({ left, right }, { spare });
    }

    /// Cores that each pool wants, and for how long.
    void run(int wantedLeft, int wantedRight, Duration time)
    {
        m_wanted = { { left, wantedLeft * 1000 }, { right, wantedRight * 1000 } };
        for (const TimePoint until = m_now + time; m_now < until; m_now += 100ms)
            step();
    }

    int machinesOf(const PoolId& pool) const
    {
        int count = 0;
        for (const auto& [id, state] : m_machines)
            count += state.machine.pool == pool && state.machine.state == MachineState::Up ? 1 : 0;
        return count;
    }
    int moves() const { return m_moves; }
    int movesOfBusyMachines() const { return m_movesOfBusy; }
    double unmetCoreSeconds() const { return m_unmet; }
    CapacityPlanner& plan() { return m_plan; }
    void refuseMoves() { m_refusesMoves = true; }
    int refusals() const { return m_refusals; }

private:
    struct State {
        Machine machine;
        TimePoint upAt {};
        bool isBusy { false };
    };

    void step()
    {
        std::set<MachineId> idle;
        std::vector<CellLoad> loads;
        for (const PoolId& pool : { left, right }) {
            std::int64_t rest = m_wanted.at(pool);
            for (auto& [id, state] : m_machines) {
                if (state.machine.pool != pool || state.machine.state != MachineState::Up)
                    continue;
                state.isBusy = rest > 0;
                rest -= machineSize;
                if (!state.isBusy)
                    idle.insert(id);
            }
            const std::int64_t waiting = std::max<std::int64_t>(rest, 0);
            m_unmet += static_cast<double>(waiting) / 1000 * 0.1;
            loads.push_back({ pool, Millicores { m_wanted.at(pool) - waiting }, Millicores { waiting } });
        }
        std::vector<Machine> machines;
        for (auto& [id, state] : m_machines) {
            if (state.machine.state == MachineState::Moving && m_now >= state.upAt) {
                state.machine.state = MachineState::Up;
                if (state.machine.pool != spare)
                    state.machine.worker = WorkerId { id.value() + "-" + std::to_string(++m_births) };
            }
            machines.push_back(state.machine);
        }
        m_plan.setMachines(machines, m_now);
        m_plan.setMovableMachines(idle);
        m_plan.setDrainedMachines(idle);
        m_plan.setLoads(loads, m_now);
        for (const MoveCommand& order : m_plan.advance(m_now))
            perform(order);
    }

    void perform(const MoveCommand& order)
    {
        if (m_refusesMoves) {
            ++m_refusals;
            m_plan.onResult(order, MachineCommandStatus::Impossible, m_now);
            return;
        }
        State& state = m_machines.at(order.machine);
        ++m_moves;
        m_movesOfBusy += state.isBusy ? 1 : 0;
        state.machine.pool = order.pool;
        state.machine.state = MachineState::Moving;
        state.machine.worker = WorkerId {};
        state.upAt = m_now + moveTime;
        state.isBusy = false;
        m_plan.onResult(order, MachineCommandStatus::Done, m_now);
    }

    TimePoint m_now { 1000s };
    CapacityPlanner m_plan { {}, TimePoint {} };
    std::map<MachineId, State> m_machines;
    std::map<PoolId, std::int64_t> m_wanted;
    int m_moves { 0 };
    int m_movesOfBusy { 0 };
    int m_births { 1 };
    double m_unmet { 0 };
    bool m_refusesMoves { false };
    int m_refusals { 0 };
};

} // namespace

TEST(DrainAnnouncements, WordFromBeforeTheMachineWasClosedAgainDoesNotCount)
{
    const MachineId machine { "m" };
    DrainAnnouncements ledger;
    ledger.record({ machine }, 5);
    EXPECT_FALSE(ledger.isKnownAt(machine, 4));
    EXPECT_TRUE(ledger.isKnownAt(machine, 5));
    ledger.record({}, 6);
    EXPECT_FALSE(ledger.isKnownAt(machine, 6));
    ledger.record({ machine }, 8);
    ledger.record({ machine }, 9);
    EXPECT_FALSE(ledger.isKnownAt(machine, 7)); // Opened in between, for all that this owner knows.
    EXPECT_TRUE(ledger.isKnownAt(machine, 8));
}

TEST(OfferedLoad, ShowsAFloodWhileItsWorkIsStillAhead)
{
    const Millicores room { 160'000 };
    TimePoint now { 1000s };
    OfferedLoad load;
    for (int job = 0; job < 40; ++job) { // Forty jobs a second of five core-seconds each.
        load.record(Millicores { 10'000 }, 500ms, room, now);
        now += 25ms;
    }
    EXPECT_GT(load.rate(now).count(), 150'000);
    EXPECT_LT(load.rate(now).count(), 250'000);
    EXPECT_EQ(load.rate(now + 2s).count(), 0);
}

TEST(OfferedLoad, OneLargeJobIsNoFlood)
{
    const Millicores room { 160'000 };
    const TimePoint now { 1000s };
    OfferedLoad load;
    load.record(Millicores { 200'000 }, 4s, room, now);
    EXPECT_LE(load.rate(now).count(), room.count() / 5);
}

TEST(CapacityPlanner, CalmLoadMovesNothing)
{
    Pools pools;
    pools.run(60, 100, 30s);
    EXPECT_EQ(pools.moves(), 0);
}

TEST(CapacityPlanner, FloodedPoolIsLentTheStandbyMachines)
{
    Pools pools;
    pools.run(20, 20, 5s);
    pools.run(230, 20, 3s);
    EXPECT_EQ(pools.machinesOf(left), 16);
    EXPECT_EQ(pools.machinesOf(right), 10);
    EXPECT_EQ(pools.movesOfBusyMachines(), 0);
    // Alone, the pool would leave 70 cores' work undone for all of the three seconds.
    EXPECT_LT(pools.unmetCoreSeconds(), 70 * 3.0 * 0.7);
}

TEST(CapacityPlanner, LargePoolIsLentItsMachinesAsSoonAsASmallOne)
{
    constexpr int scale = 8;
    Pools pools { scale };
    pools.run(20 * scale, 20 * scale, 5s);
    pools.run(230 * scale, 20 * scale, 3s);
    EXPECT_EQ(pools.machinesOf(left), 16 * scale);
    EXPECT_LT(pools.unmetCoreSeconds(), 70 * 3.0 * 0.7 * scale);
}

TEST(CapacityPlanner, LentMachinesGoBackAfterTheFlood)
{
    Pools pools;
    pools.run(230, 20, 5s);
    pools.run(10, 20, 8s);
    EXPECT_EQ(pools.machinesOf(spare), 6);
    EXPECT_EQ(pools.machinesOf(left), 10);
    EXPECT_EQ(pools.moves(), 12);
}

TEST(CapacityPlanner, LentMachinesGoOnToTheNextFlood)
{
    Pools pools;
    pools.run(230, 10, 5s);
    pools.run(10, 230, 4s);
    EXPECT_EQ(pools.machinesOf(right), 16);
    EXPECT_EQ(pools.machinesOf(left), 10);
    EXPECT_EQ(pools.moves(), 12);
    EXPECT_EQ(pools.movesOfBusyMachines(), 0);
}

TEST(CapacityPlanner, WaveringLoadDoesNotMoveMachinesToAndFro)
{
    Pools pools;
    for (int second = 0; second < 30; ++second)
        pools.run(second % 2 == 0 ? 170 : 100, 10, 1s);
    EXPECT_LE(pools.moves(), 12);
}

TEST(CapacityPlanner, PoolThatDoesNotTakeAKindOfMachineIsNotAskedAgain)
{
    Pools pools;
    pools.refuseMoves();
    pools.run(230, 20, 5s);
    EXPECT_EQ(pools.machinesOf(left), 10);
    EXPECT_LE(pools.refusals(), 6); // All of them in the same moment.
}

TEST(CapacityPlanner, ReservedMachinesStay)
{
    Pools pools;
    std::set<MachineId> all;
    for (int number = 0; number < 26; ++number)
        all.insert(MachineId { "m" + std::to_string(number) });
    pools.plan().setReservedMachines(all);
    pools.run(230, 230, 5s);
    EXPECT_EQ(pools.moves(), 0);
}
