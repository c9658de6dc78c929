#include "fleet_fakes/fake_table.h"
#include "fleet_fakes/fake_workers.h"
#include "rattanrack/base/invariant.h"
#include "rattanrack/policy/fleet_commands.h"
#include "rattanrack/policy/fleet_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <array>

using namespace rattanrack;
using namespace rattanrack::policy;
using namespace std::chrono_literals;

namespace {

constexpr int vmCount = 6;
constexpr int nodeCount = 2;
constexpr int settleRounds = 150;
constexpr std::size_t maxRollOuts = 8;

VmId vmId(int index) { return VmId { "vm" + std::to_string(index) }; }
PoolId poolId(int index) { return PoolId { "pool" + std::to_string(index) }; }

/// What the network does to a request and its answer.
enum class Delivery : std::uint8_t { Whole, AnswerLost, RequestLost, Twice, Late };

// ---- The oracle: what operators asked for, and nothing of how it is done ----

struct Asked {
    RollOutKind kind { RollOutKind::Reboot };
    VmId vm;
    PoolId target;
    RollOutState wish { RollOutState::Running };
};

struct Oracle {
    std::map<RollOutId, Asked> rollOuts;

    /// A VM is the target of one lasting request at most, so that the outcome does not depend on an order.
    bool mayStart(RollOutKind kind, const VmId& vm) const
    {
        const auto isLasting = [](RollOutKind each) { return each == RollOutKind::Drain || each == RollOutKind::Move; };
        for (const auto& [id, asked] : rollOuts) {
            if (asked.vm == vm && isLasting(asked.kind) && isLasting(kind))
                return false;
        }
        return rollOuts.size() < maxRollOuts;
    }
};

// ---- The system: two planners over one table that loses answers ----

class System {
public:
    System()
        : m_workers(m_random)
    {
        for (int pool = 0; pool < 2; ++pool)
            m_settings[poolId(pool)] = { vmCount / 2, 0, vmCount, 0, 0, FailureDomain::None, 1 };
        for (int vm = 0; vm < vmCount; ++vm)
            m_workers.add(vmId(vm), RackId { "r" }, DataCenterId { "d" }, m_now);
        settle();
    }

    void refresh(int node)
    {
        auto& view = m_views.at(node);
        const FleetSnapshot& rows = m_table.rows();
        view.vms = rows.vms;
        view.pools = rows.pools;
        view.rollOuts = rows.rollOuts;
        view.borrowing = rows.borrowing;
        view.settings = m_settings;
        view.sparePool = poolId(0);
        view.hasList = true;
        for (const auto& [id, worker] : m_workers.all()) {
            view.listed[id] = { id, worker.rack, worker.dataCenter, false };
            if (const auto report = m_workers.report(id, m_now))
                view.observations[id] = *report;
        }
    }

    void plan(int node, Delivery delivery)
    {
        for (const auto& step : m_planners.at(node).plan(m_views.at(node), m_now)) {
            if (const auto* change = std::get_if<FleetChange>(&step))
                commit(*change, delivery);
            else if (delivery != Delivery::RequestLost)
                m_workers.obey(std::get<WorkerCommand>(step), m_now, 5s);
        }
    }

    void advance(Duration duration)
    {
        m_now += duration;
        m_table.advance(m_now);
    }

    /// Repeats the command until its fate is known. True when it was carried out, false when it was refused.
    template <typename Command> bool carryOut(Command command, Delivery delivery)
    {
        for (;;) {
            const CommandAnswer answer = command(m_table.rows(), m_planners.at(0).nextAttempt());
            const auto* change = std::get_if<FleetChange>(&answer);
            if (!change)
                return false;
            commit(*change, delivery);
            if (settle(*change, m_table.rows()) == ChangeFate::Applied)
                return true;
            // Nothing took effect so far: the next try goes through, and the late one fails its conditions.
            delivery = Delivery::Whole;
        }
    }

    void crash(const VmId& vm) { m_workers.crash(vm, m_now + 3s); }

    void settle()
    {
        for (int i = 0; i < settleRounds; ++i) {
            advance(1s);
            refresh(i % nodeCount);
            plan(i % nodeCount, Delivery::Whole);
        }
    }

    const FleetSnapshot& rows() const { return m_table.rows(); }
    const fakes::FakeWorker& worker(const VmId& vm) { return m_workers.all().at(vm); }
    void noteBoot(const RollOutId& id, const VmId& vm) { m_boots[id] = worker(vm).bootId; }
    std::uint64_t bootAtStart(const RollOutId& id) const { return m_boots.at(id); }

private:
    static ChangeFate settle(const FleetChange& change, const FleetSnapshot& rows)
    {
        return policy::settle(change, rows);
    }

    void commit(const FleetChange& change, Delivery delivery)
    {
        if (delivery == Delivery::RequestLost)
            return;
        if (delivery == Delivery::Late) {
            m_table.commitLater(change, m_now + 4s);
            return;
        }
        m_table.commit(change, m_now);
        if (delivery == Delivery::Twice)
            m_table.commit(change, m_now);
    }

    TimePoint m_now { 1h };
    fakes::Random m_random { 1 };
    fakes::FakeTable m_table;
    fakes::FakeWorkers m_workers;
    std::array<FleetPlanner, nodeCount> m_planners { FleetPlanner { NodeId { "a" } }, FleetPlanner { NodeId { "b" } } };
    std::array<FleetSnapshot, nodeCount> m_views;
    std::map<PoolId, PoolSettings> m_settings;
    std::map<RollOutId, std::uint64_t> m_boots;
};

using Command = rc::state::Command<Oracle, System>;

// ---- Commands ----

struct Start : Command {
    RollOutKind kind { static_cast<RollOutKind>(*rc::gen::element(0, 2, 3)) };
    VmId vm { vmId(*rc::gen::inRange(0, vmCount)) };
    PoolId target { poolId(*rc::gen::inRange(0, 2)) };
    Delivery delivery { static_cast<Delivery>(*rc::gen::inRange(0, 5)) };

    void checkPreconditions(const Oracle& oracle) const override { RC_PRE(oracle.mayStart(kind, vm)); }
    void apply(Oracle& oracle) const override { oracle.rollOuts[nextId(oracle)] = { kind, vm, target }; }
    void run(const Oracle& oracle, System& system) const override
    {
        const RollOutId id = nextId(oracle);
        system.noteBoot(id, vm);
        const StartRollOut request { id, kind, { vm }, target, 0, {} };
        const auto command
            = [&](const auto& rows, const auto& attempt) { return startRollOut(rows, request, attempt); };
        RC_ASSERT(system.carryOut(command, delivery));
    }
    static RollOutId nextId(const Oracle& oracle) { return RollOutId { "r" + std::to_string(oracle.rollOuts.size()) }; }
};

/// Pause, resume or abort.
struct Steer : Command {
    using Function = CommandAnswer (*)(const FleetSnapshot&, const RollOutId&, const AttemptId&);

    int what { *rc::gen::inRange(0, 3) };
    RollOutId id { "r" + std::to_string(*rc::gen::inRange<std::size_t>(0, maxRollOuts)) };
    Delivery delivery { static_cast<Delivery>(*rc::gen::inRange(0, 5)) };

    void checkPreconditions(const Oracle& oracle) const override
    {
        RC_PRE(oracle.rollOuts.contains(id));
        const RollOutState now = oracle.rollOuts.at(id).wish;
        const bool isAllowed = what == 1 ? now == RollOutState::Paused : now == RollOutState::Running;
        RC_PRE(isAllowed);
    }
    void apply(Oracle& oracle) const override { oracle.rollOuts.at(id).wish = wish(); }
    void run(const Oracle&, System& system) const override
    {
        static constexpr std::array<Function, 3> s_functions { &pauseRollOut, &resumeRollOut, &abortRollOut };
        const auto command
            = [&](const auto& rows, const auto& attempt) { return s_functions.at(what)(rows, id, attempt); };
        if (!system.carryOut(command, delivery))
            RC_ASSERT(system.rows().rollOuts.at(id).state == RollOutState::Finished);
    }
    RollOutState wish() const
    {
        static constexpr std::array<RollOutState, 3> s_wishes { RollOutState::Paused, RollOutState::Running,
            RollOutState::Aborted };
        return s_wishes.at(what);
    }
};

/// One planner acts on the view that it has, however old.
struct Plan : Command {
    int node { *rc::gen::inRange(0, nodeCount) };
    bool isRefreshed { *rc::gen::arbitrary<bool>() };
    int seconds { *rc::gen::inRange(0, 4) };
    Delivery delivery { static_cast<Delivery>(*rc::gen::inRange(0, 5)) };

    void run(const Oracle&, System& system) const override
    {
        system.advance(std::chrono::seconds { seconds });
        if (isRefreshed)
            system.refresh(node);
        system.plan(node, delivery);
    }
};

struct Crash : Command {
    VmId vm { vmId(*rc::gen::inRange(0, vmCount)) };

    void run(const Oracle&, System& system) const override { system.crash(vm); }
};

/// Faults stop; then the rows must say what the oracle says.
struct Settle : Command {
    void run(const Oracle& oracle, System& system) const override
    {
        system.settle();
        RC_ASSERT(system.rows().vms.size() == vmCount);
        for (const auto& [id, asked] : oracle.rollOuts)
            checkRollOut(id, asked, system);
        for (const auto& [id, vm] : system.rows().vms) {
            RC_ASSERT(vm.phase == VmPhase::Serving || vm.phase == VmPhase::Empty);
            RC_ASSERT(system.worker(id).epoch == vm.epoch);
            RC_ASSERT(system.worker(id).isDraining == (vm.phase == VmPhase::Empty));
        }
    }

    static void checkRollOut(const RollOutId& id, const Asked& asked, System& system)
    {
        const auto& rollOut = system.rows().rollOuts.at(id);
        if (rollOut.state != RollOutState::Finished)
            RC_ASSERT(rollOut.state == asked.wish);
        if (asked.wish != RollOutState::Running)
            return;
        const auto& vm = system.rows().vms.at(asked.vm);
        const bool isHeld = vm.phase == VmPhase::Empty;
        if (asked.kind == RollOutKind::Drain)
            RC_ASSERT(isHeld && vm.operation == id);
        if (asked.kind == RollOutKind::Move && !isHeld)
            RC_ASSERT(vm.pool == asked.target && vm.homePool == asked.target);
        if (asked.kind == RollOutKind::Reboot && !isHeld)
            RC_ASSERT(system.worker(asked.vm).bootId != system.bootAtStart(id));
        RC_ASSERT(isHeld || rollOut.state == RollOutState::Finished);
    }
};

} // namespace

RC_GTEST_PROP(FleetProtocol, EndsWhereASimpleModelEnds, ())
{
    setInvariantsFatal(true);
    System system;
    rc::state::check(
        Oracle {}, system, rc::state::gen::execOneOfWithArgs<Start, Steer, Plan, Plan, Plan, Crash, Settle>());
}
