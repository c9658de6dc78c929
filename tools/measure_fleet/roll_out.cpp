#include "measure_fleet/roll_out.h"

#include "fleet_fakes/fake_table.h"
#include "fleet_fakes/fake_workers.h"
#include "rattanrack/policy/fleet_commands.h"
#include "rattanrack/policy/fleet_planner.h"
#include "rattanrack/policy/fleet_rows.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace rattanrack::measure {

using namespace policy;
using namespace std::chrono_literals;

namespace {

constexpr Duration planInterval = 1s;
constexpr Duration rebootTime = 90s;
constexpr Duration medianDrain = 40s;
constexpr double drainSpread = 1.0; ///< Standard deviation of the logarithm of drain times.
constexpr Duration rackDownTime = 10min;
constexpr std::uint32_t settleRounds = 30;
const RollOutId rollOutId { "reboot-all" };

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// One planner with perfect table and workers; only drains and reboots take time.
class Rebooting {
public:
    Rebooting(const FleetSize& size, std::uint64_t seed)
        : m_size(size)
        , m_random(seed)
        , m_workers(m_random)
    {
        addPools();
        addVms();
        for (std::uint32_t i = 0; i < settleRounds; ++i)
            round();
    }

    RollOutFigures run(bool losesRack)
    {
        m_figures = {};
        m_figures.bound = bound();
        m_figures.oneAtATime = oneAtATime();
        const auto writtenBefore = m_table.rowsWritten();
        const TimePoint start = m_now;
        submit();
        while (m_table.rows().rollOuts.at(rollOutId).state == RollOutState::Running) {
            round();
            if (losesRack && m_now - start > m_figures.bound / 3) {
                losesRack = false;
                loseRack();
            }
        }
        m_figures.taken = m_now - start;
        m_figures.rowsWritten = m_table.rowsWritten() - writtenBefore;
        m_figures.stateBytes = stateBytes();
        return m_figures;
    }

private:
    void addPools()
    {
        for (std::uint32_t i = 0; i < m_size.pools; ++i) {
            PoolSettings settings;
            settings.desired = m_size.vms / m_size.pools + (i < m_size.vms % m_size.pools ? 1 : 0);
            settings.floor = settings.desired - std::min(settings.desired, m_size.spareShare);
            settings.maxPlannedDown = m_size.maxPlannedDown;
            m_view.settings[PoolId { "pool" + std::to_string(i) }] = settings;
        }
        m_view.sparePool = m_view.settings.begin()->first;
        m_view.configVersion = 1;
        m_view.hasList = true;
    }

    void addVms()
    {
        for (std::uint32_t i = 0; i < m_size.vms; ++i) {
            const VmId id { "vm" + std::to_string(i) };
            const std::uint32_t rack = i / m_size.vmsPerRack;
            const RackId rackId { "rack" + std::to_string(rack) };
            const DataCenterId dataCenter { "dc" + std::to_string(rack % m_size.dataCenters) };
            m_workers.add(id, rackId, dataCenter, m_now);
            m_view.listed[id] = { id, rackId, dataCenter, false };
            const double factor = std::exp(drainSpread * normal());
            const auto drainTime = std::chrono::duration_cast<Duration>(medianDrain * factor);
            // The planner asks for checkpoints then, which end what runs.
            m_drainTimes[id] = std::min(drainTime, PlannerTimes {}.drainPatience);
        }
    }

    /// Sum of twelve uniform draws: near enough to a normal one, and the same everywhere.
    double normal()
    {
        double sum = -6;
        for (int i = 0; i < 12; ++i)
            sum += m_random.uniform();
        return sum;
    }

    void submit()
    {
        StartRollOut request { rollOutId, RollOutKind::Reboot, {}, {}, 0, OperatorId { "measure" } };
        for (const auto& [id, vm] : m_table.rows().vms)
            request.targets.push_back(id);
        const auto answer = startRollOut(m_table.rows(), request, m_planner.nextAttempt());
        m_table.commit(std::get<FleetChange>(answer), m_now);
    }

    void loseRack()
    {
        const RackId rack = m_workers.all().begin()->second.rack;
        for (auto& [id, worker] : m_workers.all()) {
            if (worker.rack == rack)
                m_workers.crash(id, m_now + rackDownTime);
        }
    }

    void round()
    {
        m_now += planInterval;
        for (const auto& [id, worker] : m_workers.all()) {
            if (const auto report = m_workers.report(id, m_now))
                m_view.observations[id] = *report;
        }
        m_view.vms = m_table.rows().vms;
        m_view.pools = m_table.rows().pools;
        m_view.rollOuts = m_table.rows().rollOuts;
        m_view.borrowing = m_table.rows().borrowing;
        const double before = processorSeconds();
        const auto steps = m_planner.plan(m_view, m_now);
        m_figures.planSeconds += processorSeconds() - before;
        m_figures.plans++;
        for (const auto& step : steps) {
            if (const auto* change = std::get_if<FleetChange>(&step))
                m_table.commit(*change, m_now);
            else
                obey(std::get<WorkerCommand>(step));
        }
    }

    /// What runs when a worker is told to drain takes that worker's drain time to end.
    void obey(const WorkerCommand& order)
    {
        if (order.action == WorkerAction::StopTakingWork) {
            auto& worker = m_workers.all().at(order.vm);
            worker.tasks.push_back({ {}, m_now + m_drainTimes.at(order.vm), m_now });
        }
        m_workers.obey(order, m_now, rebootTime);
    }

    Duration oneAtATime() const
    {
        Duration sum {};
        for (const auto& [id, time] : m_drainTimes)
            sum += time + rebootTime;
        return sum;
    }

    /// The longest pool bounds the roll-out: its work over its permits, or its longest VM.
    Duration bound() const
    {
        std::map<PoolId, Duration> work;
        std::map<PoolId, Duration> longest;
        for (const auto& [id, vm] : m_table.rows().vms) {
            const Duration time = m_drainTimes.at(id) + rebootTime;
            work[vm.pool] += time;
            longest[vm.pool] = std::max(longest[vm.pool], time);
        }
        Duration most {};
        for (const auto& [id, pool] : m_table.rows().pools) {
            const auto spare = pool.counts.members - pool.settings.floor;
            const auto permits = std::max(1U, std::min(pool.settings.maxPlannedDown, spare));
            most = std::max({ most, work[id] / permits, longest[id] });
        }
        return most;
    }

    std::size_t stateBytes() const
    {
        std::size_t bytes = 0;
        for (const auto& [id, vm] : m_table.rows().vms)
            bytes += vmKey(id).size() + encode(vm).size();
        for (const auto& [id, pool] : m_table.rows().pools)
            bytes += poolKey(id).size() + encode(pool).size();
        for (const auto& [id, rollOut] : m_table.rows().rollOuts)
            bytes += rollOutKey(id).size() + encode(rollOut).size();
        return bytes;
    }

    FleetSize m_size;
    fakes::Random m_random;
    fakes::FakeTable m_table;
    fakes::FakeWorkers m_workers;
    FleetPlanner m_planner { NodeId { "measure" } };
    FleetSnapshot m_view;
    std::map<VmId, Duration> m_drainTimes;
    TimePoint m_now { 1h };
    RollOutFigures m_figures;
};

} // namespace

RollOutFigures measureRollOut(const FleetSize& size, std::uint64_t seed, bool losesRack)
{
    return Rebooting { size, seed }.run(losesRack);
}

} // namespace rattanrack::measure
