#include "rattanrack/node/machine_controller.h"

#include "rattanrack/base/log.h"
#include "rattanrack/base/milliseconds.h"

#include <algorithm>
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
/// Commands are sent only if the ownership was confirmed within this time.
constexpr Duration ownershipTimeout = 2s;
/// Commands of an earlier owner may arrive for this long after a takeover.
constexpr Duration earlierOwnerCommandTime = 3300ms;

constexpr const char* statusNames[]
    = { "done", "busy", "not_of_wave", "fence_too_low", "impossible", "not_now", "unknown" };

/// Returns the time from which on no command of an earlier owner can arrive. An owner that hands the part back writes
/// how long that may take.
TimePoint firstCommandTime(const MachineTakeover& takeover, TimePoint now)
{
    const PartTakeover& part = takeover.partTakeover;
    if (part.part.term() <= 1)
        return {};
    if (!part.previousHolder.isEmpty())
        return now + earlierOwnerCommandTime;
    return now
        + std::clamp(part.earlierGrantsLeft.value_or(earlierOwnerCommandTime), Duration {}, earlierOwnerCommandTime);
}

} // namespace

Result<MachineTakeover> takeOverMachines(jobs::PartStore& store, const Clock& clock, const NodeId& self)
{
    BOOST_LEAF_AUTO(partTakeover, takeOverPart(store, clock, machinePart, self));
    return readMachines(store, std::move(partTakeover));
}

Result<MachineTakeover> readMachines(jobs::PartStore& store, PartTakeover partTakeover)
{
    BOOST_LEAF_AUTO(rows, jobs::readAll(store, waveTable, machinePart.value()));
    BOOST_LEAF_AUTO(sizes, jobs::readAll(store, sizeTable, machinePart.value()));
    MachineTakeover takeover { std::move(partTakeover), {}, {} };
    for (const jobs::PartRow& row : sizes.rows)
        takeover.poolSizes[PoolId { row.row.key }] = std::atoi(row.value.c_str());
    for (const jobs::PartRow& row : rows.rows) {
        // A wave without its progress is carried out once more: the platform does nothing on a machine that is done.
        auto progress = valueOrNothing([&] { return jobs::decodeWaveProgress(row.value); },
            [&](const Error& error) {
                logEvent("wave.unreadable", { { "wave", row.row.key }, { "error", describe(error) } }, LogLevel::Error);
            });
        if (progress)
            takeover.waves.push_back(*std::move(progress));
    }
    return takeover;
}

MachineController::MachineController(Parts parts, MachineTakeover takeover)
    : m_parts(std::move(parts))
    , m_lastCommandArrivesBy(firstCommandTime(takeover, m_parts.clock.now()))
    , m_maintenance(std::move(takeover.waves), m_lastCommandArrivesBy)
    , m_planner(takeover.poolSizes, m_lastCommandArrivesBy)
    , m_arePoolSizesStored(!takeover.poolSizes.empty())
    , m_isAlive(std::make_shared<bool>(true))
    , m_writer({ m_parts.control, m_parts.clock, m_parts.threads, m_parts.store }, std::move(takeover.partTakeover),
          writerCallbacks())
{
}

PartWriter::Callbacks MachineController::writerCallbacks()
{
    return { .onStored = [this] { m_rowsInFlight.clear(); },
        .onNotStored = [this] { restoreRowsInFlight(); },
        .onRejected = [this] { divideRowsInFlight(); },
        .onStoreLost = [] {}, // The commands end with `permittedUntil`.
        .onLost =
            [this] {
                m_parts.control.post([onLost = m_parts.onLost, alive = m_isAlive] { // Destroys this controller.
                    if (*alive)
                        onLost();
                });
            } };
}

/// The rows of a transaction that did not take effect are written again, before later ones.
void MachineController::restoreRowsInFlight()
{
    std::move(m_unwrittenRows.begin(), m_unwrittenRows.end(), std::back_inserter(m_rowsInFlight));
    m_unwrittenRows = std::exchange(m_rowsInFlight, {});
}

/// The store rejects these rows together: they are written one by one, and a row that is rejected alone is dropped. Its
/// wave is then resumed by the next owner from an earlier state, which repeats commands without any effect.
void MachineController::divideRowsInFlight()
{
    m_maxRowsInTransaction = 1;
    if (m_rowsInFlight.size() <= 1)
        m_rowsInFlight.clear();
    restoreRowsInFlight();
}

MachineController::~MachineController() { *m_isAlive = false; }

/// Runs `work` on a thread of the pool, and then `then` with its result on the control thread. Returns false if the
/// pool rejects `work`.
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

void MachineController::configure(const jobs::Configuration& configuration, const std::set<PoolId>& cells)
{
    std::set<PoolId> standby;
    for (const jobs::PoolSettings& pool : configuration.pools) {
        if (pool.isStandby)
            standby.insert(pool.id);
    }
    m_maintenance.setOwnedPools(cells);
    m_planner.setPools(cells, std::move(standby));
}

void MachineController::setCellStatus(
    std::set<jobs::MachineId> movable, jobs::DrainedMachines drained, const std::vector<jobs::CellLoad>& loads)
{
    m_maintenance.setLoads(loads);
    m_maintenance.setDrainedMachines(drained);
    m_planner.setMovableMachines(std::move(movable));
    m_planner.setDrainedMachines(std::move(drained));
    m_planner.setLoads(loads, m_parts.clock.now());
}

std::set<jobs::MachineId> MachineController::drainingMachines() const
{
    auto machines = m_maintenance.drainingMachines();
    machines.merge(m_planner.drainingMachines());
    return machines;
}

void MachineController::setWaves(const std::vector<jobs::MaintenanceWave>& waves)
{
    m_maintenance.setWaves(waves, wallClockMilliseconds(), m_parts.clock.now());
}

void MachineController::requestMachineList()
{
    const TimePoint now = m_parts.clock.now();
    if (m_isListRequested || now < m_nextListAt)
        return;
    const auto list = [&machines = m_parts.machines] {
        return valueOrNothing([&] { return machines.list(); },
            [](const Error& error) {
                logEvent("machines.unread", { { "error", describe(error) } }, LogLevel::Warning);
            });
    };
    m_isListRequested = run(list, [this, requestedAt = now](const std::optional<std::vector<jobs::Machine>>& machines) {
        m_isListRequested = false;
        m_nextListAt = m_parts.clock.now() + listPeriod;
        if (!machines)
            return;
        m_maintenance.setMachines(*machines, requestedAt, m_parts.clock.now());
        m_planner.setMachines(*machines, requestedAt);
    });
}

/// Sends a command, logs its outcome, and passes the result to `scheduler`, which decided on the command.
template <typename CommandType, typename Scheduler>
void MachineController::send(
    const CommandType& command, SendCommand<CommandType> call, Scheduler& scheduler, const char* event, LogField detail)
{
    // The thread may be paused, or busy, between the decision and the call.
    const auto work = [&machines = m_parts.machines, &clock = m_parts.clock, command, call,
                          holder = m_parts.self.value(), fence = term(), permittedUntil = permittedUntil()] {
        if (permittedUntil.hasPassed(clock.now()))
            return jobs::MachineCommandStatus::Unavailable;
        return (machines.*call)(command, holder, fence);
    };
    const auto then
        = [this, command, &scheduler, event, detail = std::move(detail)](jobs::MachineCommandStatus status) {
              --m_commandsInFlight;
              m_lastCommandArrivesBy = m_parts.clock.now() + earlierOwnerCommandTime;
              logEvent(event,
                  { { "machine", command.machine.value() }, detail,
                      { "outcome", statusNames[static_cast<std::size_t>(status)] }, { "term", term() } });
              scheduler.onResult(command, status, m_parts.clock.now());
          };
    ++m_commandsInFlight;
    if (!run(work, then))
        then(jobs::MachineCommandStatus::Unavailable);
}

Deadline MachineController::permittedUntil() const { return Deadline::after(m_writer.confirmedAt(), ownershipTimeout); }

void MachineController::reportDecision(const jobs::WaveDecision& decision) const
{
    logEvent(decision.isCompleted ? "wave.completed" : "wave.resumed",
        { { "wave", decision.wave }, { "started", decision.startedMachines }, { "gone", decision.goneMachines },
            { "listAgeMs", milliseconds(decision.listAge) }, { "term", term() } });
}

void MachineController::storePoolSizes()
{
    if (m_arePoolSizesStored || m_planner.configuredSizes().empty())
        return;
    m_arePoolSizesStored = true;
    for (const auto& [pool, size] : m_planner.configuredSizes())
        m_unwrittenRows.push_back({ { sizeTable, pool.value() }, std::to_string(size) });
}

void MachineController::reportWaves()
{
    if (m_isReporting)
        return;
    for (const jobs::WaveProgress& wave : m_maintenance.waveProgress()) {
        const auto reported = m_reportedWaves.find(wave.number);
        if (reported != m_reportedWaves.end() && reported->second == wave.isCompleted)
            continue;
        const auto sendReport = [&fleet = m_parts.fleet, wave] { return fleet.report(wave.number, wave.isCompleted); };
        m_isReporting = run(sendReport, [this, wave](bool isStored) {
            m_isReporting = false;
            if (isStored)
                m_reportedWaves[wave.number] = wave.isCompleted;
        });
        return;
    }
}

void MachineController::writeIfDue()
{
    m_writer.poll();
    const bool isDue = !m_unwrittenRows.empty() || m_parts.clock.now() - m_writer.sentAt() >= jobs::ownerRenewalPeriod;
    if (!m_writer.isFree() || (!isDue && !m_isHandingBack))
        return;
    const auto count = std::min(m_unwrittenRows.size(), m_maxRowsInTransaction);
    const auto end = m_unwrittenRows.begin() + static_cast<std::ptrdiff_t>(count);
    m_rowsInFlight.assign(std::make_move_iterator(m_unwrittenRows.begin()), std::make_move_iterator(end));
    m_unwrittenRows.erase(m_unwrittenRows.begin(), end);
    if (m_unwrittenRows.empty())
        m_maxRowsInTransaction = maxRowsInTransaction;
    const bool isLast = m_isHandingBack && m_rowsInFlight.empty() && m_commandsInFlight == 0;
    const Duration commandsLeft = std::max(m_lastCommandArrivesBy - m_parts.clock.now(), Duration {});
    m_writer.write(
        m_rowsInFlight, {}, isLast ? std::optional { jobs::OutstandingLeases {} } : std::nullopt, commandsLeft);
}

void MachineController::tick()
{
    if (m_writer.isOver())
        return;
    requestMachineList();
    const TimePoint now = m_parts.clock.now();
    const bool mayCommand = !m_isHandingBack && !permittedUntil().hasPassed(now);
    if (mayCommand) {
        m_maintenance.setMovingMachines(m_planner.machinesInTransfer());
        jobs::MaintenanceOutput output = m_maintenance.advance(now, wallClockMilliseconds());
        for (const jobs::MaintenanceCommand& command : output.commands)
            send(command, &jobs::MachineService::maintain, m_maintenance, "machine.maintained",
                { "wave", command.wave });
        for (const jobs::WaveDecision& decision : output.decisions)
            reportDecision(decision);
        for (const jobs::WaveProgress& wave : output.changedProgress)
            m_unwrittenRows.push_back({ { waveTable, std::to_string(wave.number) }, encode(wave) });
        reportWaves();
        m_planner.setReservedMachines(m_maintenance.drainingMachines());
        for (const jobs::MoveCommand& command : m_planner.advance(now))
            send(command, &jobs::MachineService::move, m_planner, "machine.moved", { "pool", command.pool.value() });
        storePoolSizes();
    }
    writeIfDue();
}

} // namespace rattanrack::node
