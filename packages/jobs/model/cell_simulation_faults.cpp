#include "cell_simulation.h"

/// What goes wrong in the world, and when.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration takeoverTime = 1500ms;

} // namespace

void CellSimulation::misfortune(Duration period)
{
    const double seconds = static_cast<double>(period.count()) / 1e6;
    const auto anyWorker = [&] {
        return std::uniform_int_distribution<std::size_t> { 0, m_workers.size() - 1 }(m_random);
    };
    if (happens(m_faults.crashesPerSecond * seconds))
        crash(anyWorker());
    if (happens(m_faults.flapsPerSecond * seconds))
        flap(anyWorker(), 3);
    if (happens(m_faults.lateSteps * seconds))
        stall();
    if (happens(m_faults.drainsPerSecond * seconds))
        drain(anyWorker());
    if (happens(m_faults.closingsPerSecond * seconds))
        close(m_workers[anyWorker()].description().machine);
    if (happens(m_faults.cutsPerSecond * seconds))
        cut(m_workers[anyWorker()].description().id, 500ms, 8s);
    if (happens(m_faults.storeStallsPerSecond * seconds))
        m_storeStalledUntil = m_now + between(500ms, 3s);
    if (happens(m_faults.takeoversPerSecond * seconds))
        loseOwner();
    if (happens(m_faults.handBacksPerSecond * seconds))
        handBack();
}

/// Cut off at that moment, the worker has ends that are not listed; a little later, ends that are listed and not
/// acknowledged.
void CellSimulation::misfortuneAtEnd(const WorkerId& worker)
{
    if (isCut(worker) || !happens(m_faults.cutsAtEnds))
        return;
    const bool isOwnerChanged = happens(m_faults.ownerChangesInCuts);
    const bool isPlanned = happens(0.5);
    after(between(0us, 120ms), [this, worker] { cut(worker, 500ms, 12s); });
    if (isOwnerChanged)
        after(between(0us, 400ms), [this, isPlanned] { isPlanned ? handBack() : loseOwner(); });
}

void CellSimulation::cut(const WorkerId& worker, Duration least, Duration most)
{
    m_cutUntil[worker] = m_now + between(least, most);
}

void CellSimulation::crash(std::size_t index)
{
    if (!m_workers[index].isUp())
        return;
    down(index);
    after(between(500ms, 7s), [this, index] {
        WorkerDescription description = m_workers[index].description();
        const bool isRenamed = description.isDraining || happens(0.5);
        if (isRenamed)
            description.id = WorkerId { "w" + std::to_string(++m_births) + "x" };
        if (isRenamed)
            m_workers[index] = ModelWorker { description, 0.99 };
        m_workers[index].restart(++m_births, m_now);
    });
}

void CellSimulation::down(std::size_t index)
{
    const WorkerDescription description = m_workers[index].description();
    m_workers[index].crash();
    m_oracle.crashed(description.id, m_now);
    if (happens(m_faults.staleEntries))
        m_ghosts.push_back({ description, m_now + between(200ms, 1500ms) });
}

/// Down and up by turns, under the same id.
void CellSimulation::flap(std::size_t index, int times)
{
    if (times == 0 || !m_workers[index].isUp() || m_workers[index].description().isDraining)
        return;
    down(index);
    after(between(50ms, 1400ms), [this, index, times] {
        m_workers[index].restart(++m_births, m_now);
        after(between(50ms, 1400ms), [this, index, times] { flap(index, times - 1); });
    });
}

/// The loops of all owners stand still; what arrives waits.
void CellSimulation::stall()
{
    const TimePoint until = m_now + between(100ms, 4s);
    for (auto& [number, owner] : m_owners)
        owner.stalledUntil = std::max(owner.stalledUntil, until);
}

void CellSimulation::drain(std::size_t index)
{
    const std::int64_t life = m_workers[index].description().incarnationUnixMs;
    const auto isSame = [this, index, life] {
        return m_workers[index].isUp() && m_workers[index].description().incarnationUnixMs == life;
    };
    after(between(0us, 500ms), [this, index, isSame] {
        if (!isSame())
            return;
        m_workers[index].setDraining();
        m_oracle.drainListed(m_workers[index].description().id, m_now);
    });
    after(between(3s, 8s), [this, index, isSame] {
        if (isSame())
            crash(index);
    });
}

void CellSimulation::close(const MachineId& machine)
{
    const auto tellOwner = [this] {
        if (Owner* owner = ownerOf(m_owner))
            owner->cell->setDrainingMachines(m_closing);
    };
    m_closing.insert(machine);
    tellOwner();
    after(between(1s, 6s), [this, machine, tellOwner] {
        m_closing.erase(machine);
        tellOwner();
    });
}

void CellSimulation::loseOwner()
{
    Owner* owner = ownerOf(m_owner);
    if (!owner || owner->isReplaced)
        return;
    owner->isReplaced = true;
    const int number = m_owner;
    if (happens(m_faults.parallelOwners))
        after(between(200ms, 6s), [this, number] { m_owners.erase(number); });
    else
        m_owners.erase(number);
    after(takeoverTime, [this] { takeOver(); });
}

void CellSimulation::handBack()
{
    Owner* owner = ownerOf(m_owner);
    if (!owner || owner->isReplaced || owner->isHandingBack)
        return;
    owner->isHandingBack = true;
    after(between(20ms, 800ms), [this, number = m_owner] { finishHandBack(number); });
}

/// With the last rows; the next owner takes over at once. The earlier one may hear late that they are written.
void CellSimulation::finishHandBack(int number)
{
    Owner* owner = ownerOf(number);
    if (!owner || owner->isReplaced)
        return;
    if (owner->isCommitting || owner->cell->hasUncommittedChanges()) {
        after(10ms, [this, number] { finishHandBack(number); });
        return;
    }
    m_workerRow = owner->cell->workersInUse();
    m_heldRow = owner->cell->outstandingLeases(m_now);
    owner->mayBeHandedBack = true;
    owner->isReplaced = true;
    if (happens(m_faults.parallelOwners))
        after(between(20ms, 6s), [this, number] { m_owners.erase(number); });
    else
        m_owners.erase(number);
    takeOver();
}

} // namespace rattanrack::jobs::model
