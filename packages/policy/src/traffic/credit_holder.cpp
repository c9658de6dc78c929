#include "traffic/credit_holder.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>

namespace rattanrack::policy {

std::uint32_t standingCredits(Slots slots, std::size_t workerIndex, std::size_t nodeIndex, std::size_t nodes)
{
    const auto count = static_cast<std::size_t>(std::max<std::int64_t>(slots.count(), 0));
    if (nodes == 0)
        return static_cast<std::uint32_t>(count);
    const std::size_t remainder = count % nodes;
    const std::size_t rotated = (nodeIndex + nodes - (workerIndex * remainder) % nodes) % nodes;
    return static_cast<std::uint32_t>(count / nodes + (rotated < remainder ? 1 : 0));
}

void CreditHolder::setWorkers(const std::vector<WorkerView>& views)
{
    std::vector<Worker> old = std::move(m_workers);
    m_workers.clear();
    std::unordered_map<VmId, std::size_t> oldIndex = std::move(m_index);
    m_index.clear();
    for (const auto& view : views) {
        Worker worker { .view = view };
        if (auto found = oldIndex.find(view.id); found != oldIndex.end()) {
            worker.held = old[found->second].held;
            worker.inUse = old[found->second].inUse;
            worker.lastUse = old[found->second].lastUse;
        }
        m_index.emplace(view.id, m_workers.size());
        m_workers.push_back(std::move(worker));
    }
    for (auto& worker : old) {
        if (worker.inUse == 0 || m_index.contains(worker.view.id))
            continue;
        worker.view.takesWork = false;
        m_index.emplace(worker.view.id, m_workers.size());
        m_workers.push_back(std::move(worker));
    }
    rebuildIdle();
}

void CreditHolder::resetToStanding(std::size_t nodeIndex, std::size_t nodes)
{
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        auto& worker = m_workers[index];
        worker.held = std::max(worker.inUse, standingCredits(worker.view.slots, index, nodeIndex, nodes));
    }
    rebuildIdle();
}

const CreditHolder::Worker* CreditHolder::pick(const std::function<bool(const Worker&)>& isWanted) const
{
    for (const auto& [lastUse, index] : m_idle) {
        if (isWanted(m_workers[index]))
            return &m_workers[index];
    }
    return nullptr;
}

void CreditHolder::use(const VmId& id)
{
    changeIdle(m_index.at(id), [this](Worker& worker) {
        checkInvariant(worker.inUse < worker.held, "credits.in_use_within_held", worker.view.id.value());
        ++worker.inUse;
        worker.lastUse = ++m_uses;
    });
}

void CreditHolder::release(const VmId& id)
{
    auto found = m_index.find(id);
    if (!checkInvariant(found != m_index.end(), "credits.released_worker_known", id.value()))
        return;
    changeIdle(found->second, [](Worker& worker) {
        if (checkInvariant(worker.inUse > 0, "credits.in_use_not_negative", worker.view.id.value()))
            --worker.inUse;
    });
}

const CreditHolder::Worker* CreditHolder::worker(const VmId& id) const
{
    auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_workers[found->second];
}

std::uint32_t CreditHolder::idle() const
{
    std::uint32_t sum = 0;
    for (const auto& [lastUse, index] : m_idle)
        sum += m_workers[index].idle();
    return sum;
}

void CreditHolder::changeIdle(std::size_t index, const std::function<void(Worker&)>& change)
{
    auto& worker = m_workers[index];
    m_idle.erase({ worker.lastUse, index });
    change(worker);
    if (worker.idle() > 0)
        m_idle.insert({ worker.lastUse, index });
}

void CreditHolder::rebuildIdle()
{
    m_idle.clear();
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].idle() > 0)
            m_idle.insert({ m_workers[index].lastUse, index });
    }
}

} // namespace rattanrack::policy
