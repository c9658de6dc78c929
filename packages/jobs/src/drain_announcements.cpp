#include "rattanrack/jobs/drain_announcements.h"

namespace rattanrack::jobs {

void DrainAnnouncements::record(const std::set<MachineId>& closing, std::uint64_t sequence)
{
    std::erase_if(m_since, [&](const auto& each) { return !closing.contains(each.first); });
    for (const MachineId& machine : closing)
        m_since.try_emplace(machine, sequence);
}

bool DrainAnnouncements::isKnownAt(const MachineId& machine, std::uint64_t heard) const
{
    const auto since = m_since.find(machine);
    return since != m_since.end() && heard >= since->second;
}

} // namespace rattanrack::jobs
