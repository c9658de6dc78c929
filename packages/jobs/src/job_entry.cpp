#include "job_entry.h"

namespace rattanrack::jobs {

bool JobEntry::isStartable(int occurrence, int step, int index) const
{
    if (progress.task(occurrence, step, index).phase != TaskPhase::Waiting)
        return false;
    const bool isGang = job.spec.steps[static_cast<std::size_t>(step)].isGang;
    if (progress.task(occurrence, step, index).isSuspect() && !isGang)
        return false;
    return areEndsStored({ occurrence, step, index });
}

bool JobEntry::areEndsStored(const TaskPosition& task) const
{
    return unstoredEnds.empty() || !unstoredEnds.contains(progress.holderOf(task));
}

void JobEntry::onStored(std::uint64_t stored)
{
    storedRevision = stored;
    std::erase_if(unstoredEnds, [&](const auto& each) { return each.second <= stored; });
}

int JobEntry::startableTasks(int occurrence, int step) const
{
    const int waiting = progress.waitingTasks(occurrence, step);
    if (waiting == 0 || (unstoredEnds.empty() && suspects == 0))
        return waiting;
    int startable = 0;
    for (int index = 0; index < job.spec.steps[static_cast<std::size_t>(step)].count; ++index)
        startable += isStartable(occurrence, step, index) ? 1 : 0;
    return startable;
}

} // namespace rattanrack::jobs
