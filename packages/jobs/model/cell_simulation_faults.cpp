#include "cell_simulation.h"

#include <limits>

/// Fault injection.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration takeoverTime = 1500ms;
constexpr Duration heartbeatsMissing = 4500ms; ///< From the loss of a worker until it is no longer listed.
constexpr Duration replacementTime = 4s;
constexpr Duration heartbeat = 1500ms; ///< A worker's description shows a change after this time at the latest.
constexpr Duration crashDelay = 10ms; ///< From a start that crashes its worker to the crash.

} // namespace

/// Up to `longest` ahead or behind.
Duration CellSimulation::randomError(Duration longest)
{
    return longest > Duration::zero() ? randomBetween(-longest, longest) : Duration {};
}

std::int64_t CellSimulation::unixMs(int owner) const
{
    return (m_now + m_clockErrors.at(owner)).time_since_epoch().count() / 1000;
}

Duration CellSimulation::responseDelay()
{
    const bool isDelayed = m_faults.longestResponseDelay > Duration::zero();
    return networkDelay + (isDelayed ? randomBetween(0us, m_faults.longestResponseDelay) : Duration {});
}

void CellSimulation::injectFaults(Duration period)
{
    const double seconds = static_cast<double>(period.count()) / 1e6;
    const auto anyWorker = [&] {
        return std::uniform_int_distribution<std::size_t> { 0, m_workers.size() - 1 }(m_random);
    };
    if (happens(m_faults.crashesPerSecond * seconds))
        crashWorker(anyWorker());
    if (happens(m_faults.rackCrashesPerSecond * seconds))
        crashRack(m_workers[anyWorker()].description().rack);
    if (happens(m_faults.flapsPerSecond * seconds))
        flapWorker(anyWorker(), 3);
    if (happens(m_faults.loopStallsPerSecond * seconds))
        stallOwners();
    if (happens(m_faults.shrinksPerSecond * seconds))
        shrinkWorker(anyWorker());
    if (happens(m_faults.workerDrainsPerSecond * seconds))
        drainWorker(anyWorker());
    if (happens(m_faults.machineDrainsPerSecond * seconds))
        drainMachine(m_workers[anyWorker()].description().machine);
    if (happens(m_faults.partitionsPerSecond * seconds))
        partition(m_workers[anyWorker()].description().id, 500ms, 8s);
    if (happens(m_faults.ownerLinkCutsPerSecond * seconds))
        cutOwnerLinks(m_workers[anyWorker()].description().id);
    if (happens(m_faults.storeStallsPerSecond * seconds))
        m_storeStalledUntil = m_now + randomBetween(500ms, 3s);
    if (happens(m_faults.ownerLossesPerSecond * seconds))
        dropOwner();
    if (happens(m_faults.handBacksPerSecond * seconds))
        handBack();
    if (happens(m_faults.foreignEntriesPerSecond * seconds))
        addForeignEntry(anyWorker());
    if (happens(m_faults.entryLapsesPerSecond * seconds))
        lapseEntries();
}

/// A worker that is partitioned at this moment has ended runs that are not listed; one that is partitioned a little
/// later has ended runs that are listed and not acknowledged.
void CellSimulation::injectFaultsAtRunEnd(const WorkerId& worker)
{
    if (isPartitioned(worker) || !happens(m_faults.partitionsAtRunEnds))
        return;
    const bool isOwnerChanged = happens(m_faults.ownerChangesInPartitions);
    const bool isPlanned = happens(0.5);
    schedule(randomBetween(0us, 120ms), [this, worker] { partition(worker, 500ms, 12s); });
    if (isOwnerChanged)
        schedule(randomBetween(0us, 400ms), [this, isPlanned] { isPlanned ? handBack() : dropOwner(); });
}

void CellSimulation::partition(const WorkerId& worker, Duration least, Duration most)
{
    m_partitionedUntil[worker] = m_now + randomBetween(least, most);
}

void CellSimulation::cutOwnerLinks(const WorkerId& worker)
{
    constexpr double shareOfLaterOwners = 0.5;
    constexpr double shareOneWay = 0.3;
    const bool isOfLaterOwners = happens(shareOfLaterOwners);
    const LinkState state = happens(shareOneWay) ? LinkState::ResponsesLost : LinkState::Down;
    m_ownerLinks.removeEnded(m_now);
    m_ownerLinks.add({ worker, isOfLaterOwners ? m_ownerNumber + 1 : 0,
        isOfLaterOwners ? std::numeric_limits<int>::max() : m_ownerNumber, state, m_now + randomBetween(500ms, 8s) });
}

void CellSimulation::crashWorker(std::size_t index)
{
    if (!m_workers[index].isUp())
        return;
    takeDown(index);
    restartLater(index, randomBetween(500ms, 7s), 0.5);
}

void CellSimulation::crashRack(const std::string& rack)
{
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].description().rack == rack)
            schedule(randomBetween(0us, 500ms), [this, index] { crashWorker(index); });
    }
}

/// Crashes the worker soon after it has carried out this start. It crashes under all tasks there that would crash it.
void CellSimulation::crashUnder(const ModelWorker& worker, const StartCommand& command)
{
    const WorkerId id = worker.description().id;
    const std::int64_t incarnation = worker.description().incarnationUnixMs;
    schedule(crashDelay, [this, command, id, incarnation] {
        const ModelWorker* crashing = find(id);
        if (!crashing || crashing->description().incarnationUnixMs != incarnation)
            return;
        if (!crashing->runs().contains(command.task))
            return;
        const auto index = static_cast<std::size_t>(crashing - m_workers.data());
        for (const auto& [task, run] : crashing->runs()) {
            if (crashesWorkers(task))
                m_oracle.onCrashedUnder(task);
        }
        takeDown(index, true);
        restartLater(index, randomBetween(3s, 3500ms), m_faults.renamedAfterTaskCrash);
    });
}

void CellSimulation::restartLater(std::size_t index, Duration after, double renamedShare)
{
    schedule(after, [this, index, renamedShare] {
        WorkerDescription description = m_workers[index].description();
        const bool isRenamed = description.isDraining || happens(renamedShare);
        if (isRenamed)
            description.id = WorkerId { "w" + std::to_string(++m_incarnations) + "x" };
        if (isRenamed) {
            const bool enforcesCapacity = m_workers[index].enforcesCapacity();
            m_workers[index] = ModelWorker { description, 0.99, m_longestLease };
            m_workers[index].setEnforcesCapacity(enforcesCapacity);
        }
        restartWorker(index);
    });
}

void CellSimulation::restartWorker(std::size_t index)
{
    const bool isDrawn = m_faults.longestInitialClock > Duration::zero();
    const Duration clock = isDrawn ? randomBetween(0us, m_faults.longestInitialClock) : Duration { 1s };
    m_workers[index].restart(++m_incarnations, m_now, clock);
}

void CellSimulation::takeDown(std::size_t index, bool isByTask)
{
    const WorkerDescription description = m_workers[index].description();
    m_workers[index].crash();
    m_oracle.onCrashed(description.id, m_now);
    m_startSurvival.onCrashed(description.id, isByTask, m_now);
    recordCrash(index, happens(m_faults.silentCrashes));
    if (happens(m_faults.staleListEntries))
        m_staleEntries.push_back({ description, m_now + randomBetween(200ms, 1500ms) });
}

/// The kernel closes the connections of a process that ends, and refuses new ones.
void CellSimulation::recordCrash(std::size_t index, bool isSilent)
{
    const WorkerId id = m_workers[index].description().id;
    m_crashes[id] = { index, m_workers[index].description().machine, m_now, isSilent };
    if (!isSilent)
        schedule(networkDelay, [this, id] { endConnections(id); });
}

void CellSimulation::loseWorkers(std::size_t count, Duration period)
{
    for (std::size_t index = 0; index < count; ++index) {
        schedule(randomBetween(0us, period), [this, index] {
            if (m_workers[index].isUp())
                replaceWorker(index);
        });
    }
}

void CellSimulation::replaceWorker(std::size_t index)
{
    WorkerDescription description = m_workers[index].description();
    m_workers[index].crash();
    m_oracle.onCrashed(description.id, m_now);
    recordCrash(index, true);
    m_staleEntries.push_back({ description, m_now + heartbeatsMissing });
    m_lastWorkerLostAt = m_now;
    schedule(replacementTime, [this, index, description]() mutable {
        const std::string number = std::to_string(m_incarnations + 1);
        description.id = WorkerId { "w" + number + "n" };
        description.machine = MachineId { "m" + number + "n" };
        m_workers[index] = ModelWorker { description, 0.99, m_longestLease };
        restartWorker(index);
    });
}

/// Takes the worker down and up several times under the same id.
void CellSimulation::flapWorker(std::size_t index, int count)
{
    if (count == 0 || !m_workers[index].isUp() || m_workers[index].description().isDraining)
        return;
    takeDown(index);
    schedule(randomBetween(50ms, 1400ms), [this, index, count] {
        restartWorker(index);
        schedule(randomBetween(50ms, 1400ms), [this, index, count] { flapWorker(index, count - 1); });
    });
}

/// Stalls the loops of all owners; calls that arrive meanwhile wait.
void CellSimulation::stallOwners()
{
    const TimePoint until = m_now + randomBetween(100ms, 4s);
    for (auto& [number, owner] : m_owners)
        owner.stalledUntil = std::max(owner.stalledUntil, until);
}

void CellSimulation::shrinkWorker(std::size_t index)
{
    const std::int64_t percent = std::uniform_int_distribution<> { 5, 60 }(m_random);
    setCapacity(index,
        { Millicores { wholeCapacity.processors.count() * percent / 100 },
            Mebibytes { wholeCapacity.memory.count() * percent / 100 }, wholeCapacity.accelerators });
    schedule(randomBetween(3s, 15s), [this, index] { setCapacity(index, wholeCapacity); });
}

void CellSimulation::setCapacity(std::size_t index, const ResourceSize& capacity)
{
    m_oracle.onCapacityChanged(m_workers[index].description().id, m_workers[index].capacity(), m_now);
    m_workers[index].setCapacity(capacity);
    schedule(randomBetween(0us, heartbeat), [this, index] { m_workers[index].publishCapacity(); });
}

void CellSimulation::drainWorker(std::size_t index)
{
    const std::int64_t incarnation = m_workers[index].description().incarnationUnixMs;
    const auto isSameIncarnation = [this, index, incarnation] {
        return m_workers[index].isUp() && m_workers[index].description().incarnationUnixMs == incarnation;
    };
    schedule(randomBetween(0us, 500ms), [this, index, isSameIncarnation] {
        if (!isSameIncarnation())
            return;
        m_workers[index].setDraining();
        m_oracle.onDrainListed(m_workers[index].description().id, m_now);
    });
    schedule(randomBetween(3s, 8s), [this, index, isSameIncarnation] {
        if (isSameIncarnation())
            crashWorker(index);
    });
}

void CellSimulation::drainMachine(const MachineId& machine)
{
    const auto updateOwner = [this] {
        if (Owner* owner = findOwner(m_ownerNumber))
            owner->cell->setDrainingMachines(m_drainingMachines);
    };
    m_drainingMachines.insert(machine);
    updateOwner();
    schedule(randomBetween(1s, 6s), [this, machine, updateOwner] {
        m_drainingMachines.erase(machine);
        updateOwner();
    });
}

void CellSimulation::dropOwner()
{
    Owner* owner = findOwner(m_ownerNumber);
    if (!owner || owner->isReplaced)
        return;
    owner->isReplaced = true;
    const int number = m_ownerNumber;
    if (happens(m_faults.survivingOwners))
        schedule(randomBetween(200ms, 6s), [this, number] { endOwner(number); });
    else
        endOwner(number);
    schedule(takeoverTime, [this] { takeOver(); });
}

void CellSimulation::restartNodes()
{
    m_areNodesRestarting = true;
    dropOwner();
}

void CellSimulation::handBack()
{
    Owner* owner = findOwner(m_ownerNumber);
    if (!owner || owner->isReplaced || owner->isHandingBack)
        return;
    owner->isHandingBack = true;
    schedule(randomBetween(20ms, 800ms), [this, number = m_ownerNumber] { finishHandBack(number); });
}

/// Writes the last rows, and the next owner takes over at once. The earlier owner may learn late that the rows are
/// written.
void CellSimulation::finishHandBack(int number)
{
    Owner* owner = findOwner(number);
    if (!owner || owner->isReplaced)
        return;
    if (owner->isCommitting || owner->cell->hasUncommittedChanges()) {
        schedule(10ms, [this, number] { finishHandBack(number); });
        return;
    }
    m_workerRow = owner->cell->workersInUse();
    m_outstandingLeasesRow = owner->cell->outstandingLeases(m_now);
    owner->mayBeHandedBack = true;
    owner->isReplaced = true;
    if (happens(m_faults.survivingOwners))
        schedule(randomBetween(20ms, 6s), [this, number] { endOwner(number); });
    else
        endOwner(number);
    takeOver();
}

} // namespace rattanrack::jobs::model
