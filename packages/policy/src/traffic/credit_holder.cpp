#include "traffic/credit_holder.h"

#include "rattanrack/base/invariant.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::policy {

namespace {

constexpr std::int64_t minStandingSlots = 4; // for each node

double share(std::int64_t needed, std::int64_t available)
{
    return available > 0 ? static_cast<double>(needed) / static_cast<double>(available) : 0;
}

} // namespace

std::uint32_t standingCredits(Slots slots, std::size_t workerIndex, std::size_t nodeIndex, std::size_t nodes)
{
    const auto count = static_cast<std::size_t>(std::max<std::int64_t>(slots.count(), 0));
    if (nodes == 0)
        return static_cast<std::uint32_t>(count);
    const std::size_t remainder = count % nodes;
    const std::size_t rotated = (nodeIndex + nodes - (workerIndex * remainder) % nodes) % nodes;
    return static_cast<std::uint32_t>(count / nodes + (rotated < remainder ? 1 : 0));
}

bool keepsStanding(std::int64_t slots, std::size_t nodes)
{
    return slots >= static_cast<std::int64_t>(nodes) * minStandingSlots;
}

std::uint32_t creditsFor(const ResourceSize& size, const ResourceSize& capacity, Slots slots)
{
    if (!fits(size, capacity) || slots.count() <= 0)
        return 0;
    const double largest = std::max({ share(size.processors.count(), capacity.processors.count()),
        share(size.memory.count(), capacity.memory.count()),
        share(size.accelerators.count(), capacity.accelerators.count()) });
    const auto credits = std::llround(largest * static_cast<double>(slots.count()));
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(credits, 1, slots.count()));
}

void CreditHolder::setWorkers(
    const std::vector<WorkerView>& views, bool isStanding, std::size_t nodeIndex, std::size_t nodes)
{
    const std::vector<Worker> old = std::exchange(m_workers, {});
    const auto oldIndex = std::exchange(m_index, {});
    for (const auto& view : views) {
        const std::size_t index = m_workers.size();
        Worker worker { .view = view };
        if (auto found = oldIndex.find(view.id); found != oldIndex.end()) {
            worker.held = old[found->second].held;
            worker.inUse = old[found->second].inUse;
            worker.lastUse = old[found->second].lastUse;
        } else if (isStanding) {
            worker.held = standingCredits(view.slots, index, nodeIndex, nodes);
        }
        m_index.emplace(view.id, index);
        m_workers.push_back(std::move(worker));
    }
    for (const auto& worker : old) {
        if (worker.inUse == 0 || m_index.contains(worker.view.id))
            continue;
        m_index.emplace(worker.view.id, m_workers.size());
        m_workers.push_back(worker);
        m_workers.back().view.takesWork = false;
    }
    rebuild();
}

void CreditHolder::resetToStanding(std::size_t nodeIndex, std::size_t nodes)
{
    for (std::size_t index = 0; index < m_workers.size(); ++index)
        m_workers[index].held = standingCredits(m_workers[index].view.slots, index, nodeIndex, nodes);
    rebuild();
}

void CreditHolder::add(const std::vector<Credit>& credits)
{
    for (const auto& credit : credits) {
        if (auto found = m_index.find(credit.worker); found != m_index.end())
            change(found->second, [&](Worker& worker) { worker.held += credit.count; });
    }
}

void CreditHolder::takeBack(const std::vector<Credit>& credits)
{
    for (const auto& credit : credits) {
        if (auto found = m_index.find(credit.worker); found != m_index.end())
            change(found->second, [&](Worker& worker) { worker.held -= std::min(worker.held, credit.count); });
    }
}

std::uint32_t CreditHolder::giveUp(std::uint32_t count)
{
    std::uint32_t given = 0;
    while (given < count && !m_idleOrder.empty()) {
        auto most
            = std::max_element(m_idleOrder.begin(), m_idleOrder.end(), [this](const auto& left, const auto& right) {
                  return m_workers[left.second].idle() < m_workers[right.second].idle();
              });
        change(most->second, [](Worker& worker) { --worker.held; });
        ++given;
    }
    return given;
}

void CreditHolder::use(const VmId& id, std::uint32_t count)
{
    change(m_index.at(id), [&](Worker& worker) {
        checkInvariant(worker.idle() >= count, "credits.used_are_idle", id.value());
        worker.inUse += count;
        worker.lastUse = ++m_uses;
    });
}

void CreditHolder::release(const VmId& id, std::uint32_t count)
{
    auto found = m_index.find(id);
    if (!checkInvariant(found != m_index.end(), "credits.released_worker_known", id.value()))
        return;
    change(found->second, [&](Worker& worker) {
        if (checkInvariant(worker.inUse >= count, "credits.in_use_not_negative", id.value()))
            worker.inUse -= count;
    });
}

const CreditHolder::Worker* CreditHolder::worker(const VmId& id) const
{
    auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_workers[found->second];
}

std::vector<Credit> CreditHolder::idleCredits() const
{
    std::vector<Credit> credits;
    for (const auto& worker : m_workers) {
        if (worker.held > worker.inUse)
            credits.push_back({ worker.view.id, worker.held - worker.inUse });
    }
    return credits;
}

std::vector<Credit> CreditHolder::inUseCredits() const
{
    std::vector<Credit> credits;
    for (const auto& worker : m_workers) {
        if (worker.inUse > 0)
            credits.push_back({ worker.view.id, worker.inUse });
    }
    return credits;
}

template <typename Change> void CreditHolder::change(std::size_t index, Change apply)
{
    auto& worker = m_workers[index];
    const IdleKey oldKey { worker.lastUse, index };
    const std::uint32_t oldIdle = worker.idle();
    const std::uint32_t oldHeld = worker.held;
    const std::uint32_t oldInUse = worker.inUse;
    apply(worker);
    m_held += worker.held - oldHeld;
    m_inUse += worker.inUse - oldInUse;
    m_idle += worker.idle() - oldIdle;
    if (oldIdle > 0 && worker.idle() > 0) {
        auto entry = m_idleOrder.extract(oldKey);
        entry.value() = { worker.lastUse, index };
        m_idleOrder.insert(std::move(entry));
        return;
    }
    if (oldIdle > 0)
        m_idleOrder.erase(oldKey);
    if (worker.idle() > 0)
        m_idleOrder.insert({ worker.lastUse, index });
}

void CreditHolder::rebuild()
{
    m_idleOrder.clear();
    m_shapes.clear();
    m_idle = 0;
    m_held = 0;
    m_inUse = 0;
    m_slots = 0;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        const auto& worker = m_workers[index];
        m_held += worker.held;
        m_inUse += worker.inUse;
        m_idle += worker.idle();
        if (worker.idle() > 0)
            m_idleOrder.insert({ worker.lastUse, index });
        if (!worker.view.takesWork)
            continue;
        m_slots += worker.view.slots.count();
        const Shape shape { worker.view.capacity, worker.view.slots };
        if (std::find(m_shapes.begin(), m_shapes.end(), shape) == m_shapes.end())
            m_shapes.push_back(shape);
    }
}

} // namespace rattanrack::policy
