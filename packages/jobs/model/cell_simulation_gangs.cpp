#include "cell_simulation.h"

/// Gangs on the workers: a member makes progress only while all members run, and ends when another one is gone.
namespace rattanrack::jobs::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration longestWaitForGang = 2s; ///< Of a member for the rest.

} // namespace

bool CellSimulation::isGangMember(const TaskRef& task) const
{
    return m_jobs.at(task.job).spec.steps[static_cast<std::size_t>(task.step)].isGang;
}

void CellSimulation::advanceGangs()
{
    std::map<TaskRef, std::vector<GangMember>> members; // By the gang's first task.
    for (const auto& [gang, state] : m_gangs)
        members[gang];
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        for (const auto& [task, run] : m_workers[index].runs()) {
            if (isGangMember(task))
                members[{ task.job, task.occurrence, task.step, 0 }].push_back({ index, task });
        }
    }
    for (const auto& [gang, present] : members)
        advanceGang(gang, present);
}

void CellSimulation::advanceGang(const TaskRef& gang, const std::vector<GangMember>& members)
{
    if (members.empty()) {
        m_gangs.erase(gang);
        return;
    }
    GangState& state = m_gangs.try_emplace(gang, GangState { m_now, {} }).first->second;
    const bool isComplete = static_cast<int>(members.size())
        == m_jobs.at(gang.job).spec.steps.at(static_cast<std::size_t>(gang.step)).count;
    const bool wasComplete = state.endsAt != TimePoint {};
    if (isComplete && !wasComplete) {
        state.endsAt = m_now + behaviorOf(gang).time;
        for (const GangMember& member : members)
            m_workers[member.worker].setEnd(member.task, state.endsAt);
    } else if (!isComplete && wasComplete && m_now < state.endsAt) {
        endGang(gang, members, RunOutcome::GangBroken);
    } else if (!isComplete && !wasComplete && m_now - state.since >= longestWaitForGang) {
        endGang(gang, members, RunOutcome::GangIncomplete);
    }
}

void CellSimulation::endGang(const TaskRef& gang, const std::vector<GangMember>& members, RunOutcome outcome)
{
    for (const GangMember& member : members) {
        m_workers[member.worker].endEarly(member.task, outcome, m_now);
        processWorkerEvents(m_workers[member.worker]);
    }
    m_gangs.erase(gang);
}

} // namespace rattanrack::jobs::model
