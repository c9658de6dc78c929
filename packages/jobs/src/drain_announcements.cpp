#include "rattanrack/jobs/drain_announcements.h"

namespace rattanrack::jobs {

void DrainAnnouncements::record(const std::set<MachineId>& draining, std::uint64_t sequence)
{
    std::erase_if(m_firstSequence, [&](const auto& each) { return !draining.contains(each.first); });
    for (const MachineId& machine : draining)
        m_firstSequence.try_emplace(machine, sequence);
}

bool DrainAnnouncements::isKnownAt(const MachineId& machine, std::uint64_t sequence) const
{
    const auto first = m_firstSequence.find(machine);
    return first != m_firstSequence.end() && sequence >= first->second;
}

} // namespace rattanrack::jobs
