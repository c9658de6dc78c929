#include "fleet_fakes/fake_workers.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>

namespace rattanrack::fakes {

using namespace policy;

void FakeWorkers::add(const VmId& id, const RackId& rack, const DataCenterId& dataCenter, TimePoint upAt)
{
    auto& worker = m_workers[id];
    worker = {};
    worker.rack = rack;
    worker.dataCenter = dataCenter;
    crash(id, upAt);
}

void FakeWorkers::crash(const VmId& id, TimePoint upAt)
{
    auto& worker = m_workers.at(id);
    // Boot ids are in no order, as those of real workers.
    worker.bootId = (m_random->below(1U << 30U) << 20U) + ++m_boots;
    worker.epoch = 0;
    worker.isDraining = true;
    worker.tasks.clear();
    worker.upAt = upAt;
}

/// Forgets what ended so long ago that no report shows it.
void FakeWorkers::forgetTasks(FakeWorker& worker, TimePoint now)
{
    std::erase_if(worker.tasks, [&](const FakeTask& task) { return task.endsAt <= now - usageLag; });
}

std::uint32_t FakeWorkers::running(const FakeWorker& worker, TimePoint at)
{
    return static_cast<std::uint32_t>(std::count_if(worker.tasks.begin(), worker.tasks.end(),
        [&](const FakeTask& task) { return task.startedAt <= at && at < task.endsAt; }));
}

void FakeWorkers::obey(const WorkerCommand& order, TimePoint now, Duration rebootTime)
{
    const auto found = m_workers.find(order.vm);
    if (found == m_workers.end() || !found->second.isUp(now))
        return;
    auto& worker = found->second;
    if (order.bootId != worker.bootId || order.epoch < worker.epoch)
        return;
    forgetTasks(worker, now);
    switch (order.action) {
    case WorkerAction::StopTakingWork:
    case WorkerAction::TakeWork:
        worker.epoch = order.epoch;
        worker.isDraining = order.action == WorkerAction::StopTakingWork;
        return;
    case WorkerAction::Reboot:
        checkInvariant(running(worker, now) == 0, "worker.no_reboot_with_work_running", order.vm.value());
        checkInvariant(worker.isDraining, "worker.no_reboot_while_serving", order.vm.value());
        m_reboots++;
        crash(order.vm, now + rebootTime);
        return;
    case WorkerAction::Checkpoint:
        worker.tasks.clear();
        return;
    case WorkerAction::Replace:
        checkInvariant(running(worker, now) == 0, "worker.no_replacement_with_work_running", order.vm.value());
        worker.isLeaving = true;
        return;
    }
}

bool FakeWorkers::dispatch(const VmId& id, const FakeTask& task, std::uint64_t epoch, TimePoint now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.isUp(now))
        return false;
    auto& worker = found->second;
    forgetTasks(worker, now);
    if (worker.isDraining || epoch != worker.epoch)
        return false;
    for (const auto& other : worker.tasks)
        checkInvariant(other.endsAt <= now || other.pool == task.pool, "worker.runs_one_pool", id.value());
    worker.tasks.push_back(task);
    return true;
}

std::optional<WorkerObservation> FakeWorkers::report(const VmId& id, TimePoint now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.isUp(now))
        return std::nullopt;
    auto& worker = found->second;
    forgetTasks(worker, now);
    return WorkerObservation { worker.bootId, worker.epoch, worker.isDraining, running(worker, now - usageLag), now };
}

} // namespace rattanrack::fakes
