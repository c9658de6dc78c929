#include "lagging_list.h"

#include <algorithm>

namespace rattanrack::standin {

using namespace platform;

namespace {

constexpr Duration defaultLag = std::chrono::seconds { 2 };
constexpr Duration longestLag = std::chrono::minutes { 10 };

} // namespace

LaggingList::LaggingList(std::vector<VmDescription> vms)
    : m_lag(defaultLag)
{
    m_snapshots.push_back({ TimePoint::min(), std::move(vms) });
}

std::vector<VmDescription> LaggingList::visible(TimePoint now)
{
    const std::lock_guard guard { m_mutex };
    const auto seen = std::find_if(m_snapshots.rbegin(), m_snapshots.rend(),
        [&](const Snapshot& snapshot) { return snapshot.since <= now - m_lag; });
    return seen == m_snapshots.rend() ? m_snapshots.front().vms : seen->vms;
}

void LaggingList::store(const VmDescription& vm, TimePoint now)
{
    const std::lock_guard guard { m_mutex };
    auto vms = m_snapshots.back().vms;
    std::erase_if(vms, [&](const auto& each) { return each.id == vm.id; });
    vms.push_back(vm);
    m_snapshots.push_back({ now, std::move(vms) });
    forgetOld(now);
}

bool LaggingList::setState(const VmId& id, VmState state, TimePoint now)
{
    const std::lock_guard guard { m_mutex };
    auto vms = m_snapshots.back().vms;
    const auto found = std::ranges::find(vms, id, &VmDescription::id);
    if (found == vms.end())
        return false;
    found->state = state;
    m_snapshots.push_back({ now, std::move(vms) });
    forgetOld(now);
    return true;
}

bool LaggingList::remove(const VmId& id, TimePoint now)
{
    const std::lock_guard guard { m_mutex };
    auto vms = m_snapshots.back().vms;
    if (std::erase_if(vms, [&](const auto& each) { return each.id == id; }) == 0)
        return false;
    m_snapshots.push_back({ now, std::move(vms) });
    forgetOld(now);
    return true;
}

void LaggingList::setLag(Duration lag)
{
    const std::lock_guard guard { m_mutex };
    m_lag = std::min(lag, longestLag);
}

void LaggingList::forgetOld(TimePoint now)
{
    while (m_snapshots.size() > 1 && m_snapshots[1].since < now - longestLag)
        m_snapshots.pop_front();
}

} // namespace rattanrack::standin
