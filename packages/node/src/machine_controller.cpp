#include "rattanrack/node/machine_controller.h"

#include "rattanrack/base/log.h"

#include <cstdlib>
#include <iterator>
#include <utility>

namespace rattanrack::node {

const PoolId machinePart { "~machines" };

namespace {

using namespace std::chrono_literals;

constexpr const char* waveTable = "wave";
constexpr const char* sizeTable = "size";
constexpr Duration listPeriod = 350ms;
constexpr Duration renewalPeriod = 1s;
constexpr Duration ownerTrust = 2s; ///< Orders only while the ownership was confirmed within it.
constexpr Duration earlierHolderTime = 3300ms; ///< An earlier holder's orders may still arrive.

constexpr const char* statusNames[]
    = { "done", "busy", "not_of_wave", "fence_too_low", "impossible", "not_now", "unknown" };

/// From then on no earlier holder gives orders any more.
TimePoint orderTime(const MachineTakeover& takeover, TimePoint now)
{
    return takeover.partTakeover.part.term() > 1 ? now + earlierHolderTime : TimePoint {};
}

} // namespace

Result<MachineTakeover> takeOverMachines(jobs::PartStore& store, const Clock& clock, const NodeId& self)
{
    BOOST_LEAF_AUTO(taken, takeOverPart(store, clock, machinePart, self));
    BOOST_LEAF_AUTO(rows, jobs::readAll(store, waveTable, machinePart.value()));
    BOOST_LEAF_AUTO(sizes, jobs::readAll(store, sizeTable, machinePart.value()));
    MachineTakeover takeover { std::move(taken), {}, {} };
    for (const jobs::PartRow& row : sizes.rows)
        takeover.poolSizes[PoolId { row.row.key }] = std::atoi(row.value.c_str());
    for (const jobs::PartRow& row : rows.rows) {
        BOOST_LEAF_AUTO(progress, jobs::decodeWaveProgress(row.value));
        takeover.waves.push_back(std::move(progress));
    }
    return takeover;
}

MachineController::MachineController(Parts parts, MachineTakeover takeover)
    : m_parts(std::move(parts))
    , m_maintenance(std::move(takeover.waves), orderTime(takeover, m_parts.clock.now()))
    , m_plan(takeover.poolSizes, orderTime(takeover, m_parts.clock.now()))
    , m_arePoolSizesStored(!takeover.poolSizes.empty())
    , m_isAlive(std::make_shared<bool>(true))
    , m_writer({ m_parts.control, m_parts.clock, m_parts.threads, m_parts.store }, std::move(takeover.partTakeover),
          { [this] { m_written.clear(); },
              [this] {
                  std::move(m_unwritten.begin(), m_unwritten.end(), std::back_inserter(m_written));
                  m_unwritten = std::exchange(m_written, {});
              },
              [this] {
                  m_parts.control.post([onLost = m_parts.onLost, alive = m_isAlive] { // It ends this duty.
                      if (*alive)
                          onLost();
                  });
              } })
{
}

MachineController::~MachineController() { *m_isAlive = false; }

/// Runs `work` on a thread of the store and `then` with its result on the control thread.
template <typename Work, typename Then> bool MachineController::run(Work work, Then then)
{
    return m_parts.threads.submit(
        [work = std::move(work), then = std::move(then), alive = m_isAlive, &control = m_parts.control] {
            auto result = std::make_shared<decltype(work())>(work());
            control.post([alive, result, then] {
                if (*alive)
                    then(*result);
            });
        });
}

void MachineController::configure(const jobs::Configuration& configuration)
{
    const auto cells = configuration.cellPools();
    const std::set<PoolId> owned { cells.begin(), cells.end() };
    std::set<PoolId> standby;
    for (const jobs::PoolSettings& pool : configuration.pools) {
        if (pool.isStandby)
            standby.insert(pool.id);
    }
    m_maintenance.setOwnedPools(owned);
    m_plan.setPools(owned, std::move(standby));
}

void MachineController::setCellStatus(
    std::set<jobs::MachineId> movable, std::set<jobs::MachineId> emptied, const std::vector<jobs::CellLoad>& loads)
{
    m_maintenance.setLoads(loads);
    m_maintenance.setDrainedMachines(emptied);
    m_plan.setMovableMachines(std::move(movable));
    m_plan.setDrainedMachines(std::move(emptied));
    m_plan.setLoads(loads, m_parts.clock.now());
}

std::set<jobs::MachineId> MachineController::drainingMachines() const
{
    auto machines = m_maintenance.drainingMachines();
    machines.merge(m_plan.drainingMachines());
    return machines;
}

void MachineController::setWaves(const std::vector<jobs::MaintenanceWave>& waves)
{
    m_maintenance.setWaves(waves, wallClockMilliseconds());
}

void MachineController::requestMachineList()
{
    const TimePoint now = m_parts.clock.now();
    if (m_isListRequested || now < m_listAt)
        return;
    const auto list = [&machines = m_parts.machines] {
        return valueOrNothing([&] { return machines.list(); },
            [](const Error& error) {
                logEvent("machines.unread", { { "error", describe(error) } }, LogLevel::Warning);
            });
    };
    m_isListRequested = run(list, [this, askedAt = now](const std::optional<std::vector<jobs::Machine>>& machines) {
        m_isListRequested = false;
        m_listAt = m_parts.clock.now() + listPeriod;
        if (!machines)
            return;
        m_maintenance.setMachines(*machines, askedAt, m_parts.clock.now());
        m_plan.setMachines(*machines, askedAt);
    });
}

/// Sends an order, logs its outcome and tells `taker`, which decided on it.
template <typename OrderType, typename Taker>
void MachineController::send(
    const OrderType& order, SendCommand<OrderType> call, Taker& taker, const char* event, LogField detail)
{
    const auto work = [&machines = m_parts.machines, order, call, holder = m_parts.self.value(), fence = term()] {
        return (machines.*call)(order, holder, fence);
    };
    const auto then = [this, order, &taker, event, detail = std::move(detail)](jobs::MachineCommandStatus status) {
        --m_commandsInFlight;
        logEvent(event,
            { { "machine", order.machine.value() }, detail,
                { "outcome", statusNames[static_cast<std::size_t>(status)] }, { "term", term() } });
        taker.onResult(order, status, m_parts.clock.now());
    };
    ++m_commandsInFlight;
    if (!run(work, then))
        then(jobs::MachineCommandStatus::Unavailable);
}

void MachineController::storePoolSizes()
{
    if (m_arePoolSizesStored || m_plan.configuredSizes().empty())
        return;
    m_arePoolSizesStored = true;
    for (const auto& [pool, size] : m_plan.configuredSizes())
        m_unwritten.push_back({ { sizeTable, pool.value() }, std::to_string(size) });
}

void MachineController::report()
{
    if (m_isReporting)
        return;
    for (const jobs::WaveProgress& wave : m_maintenance.waveProgress()) {
        const auto known = m_reported.find(wave.number);
        if (known != m_reported.end() && known->second == wave.isCompleted)
            continue;
        const auto tell = [&fleet = m_parts.fleet, wave] { return fleet.report(wave.number, wave.isCompleted); };
        m_isReporting = run(tell, [this, wave](bool isStored) {
            m_isReporting = false;
            if (isStored)
                m_reported[wave.number] = wave.isCompleted;
        });
        return;
    }
}

void MachineController::write()
{
    m_writer.poll();
    const bool isDue = !m_unwritten.empty() || m_parts.clock.now() - m_writer.sentAt() >= renewalPeriod;
    if (!m_writer.isFree() || (!isDue && !m_isHandingBack))
        return;
    m_written = std::exchange(m_unwritten, {});
    const bool isLast = m_isHandingBack && m_written.empty() && m_commandsInFlight == 0;
    m_writer.write(m_written, {}, isLast ? std::optional { jobs::OutstandingLeases {} } : std::nullopt);
}

void MachineController::tick()
{
    if (m_writer.isOver())
        return;
    requestMachineList();
    const TimePoint now = m_parts.clock.now();
    const bool mayOrder = !m_isHandingBack && now - m_writer.confirmedAt() < ownerTrust;
    if (mayOrder) {
        m_maintenance.setMovingMachines(m_plan.drainingMachines());
        jobs::MaintenanceOutput output = m_maintenance.advance(now, wallClockMilliseconds());
        for (const jobs::MaintenanceCommand& each : output.commands)
            send(each, &jobs::MachineService::maintain, m_maintenance, "machine.maintained", { "wave", each.wave });
        for (const jobs::WaveProgress& wave : output.changedProgress)
            m_unwritten.push_back({ { waveTable, std::to_string(wave.number) }, encode(wave) });
        report();
        m_plan.setReservedMachines(m_maintenance.drainingMachines());
        for (const jobs::MoveCommand& each : m_plan.advance(now))
            send(each, &jobs::MachineService::move, m_plan, "machine.moved", { "pool", each.pool.value() });
        storePoolSizes();
    }
    write();
}

} // namespace rattanrack::node
