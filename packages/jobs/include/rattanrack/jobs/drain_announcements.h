#pragma once

#include "rattanrack/jobs/machine.h"

#include <cstdint>
#include <map>
#include <set>

namespace rattanrack::jobs {

/// Checks whether the owner of a cell had received the announcement of a machine's present drain when it announced the
/// machine as drained. A machine whose drain was cancelled and begun again may have got new work in between, while the
/// owner's earlier announcement was in flight. Performs no I/O and reads no clock. Not thread-safe.
class DrainAnnouncements {
public:
    /// Records that the announcement with the number `sequence` lists these machines as draining.
    void record(const std::set<MachineId>& draining, std::uint64_t sequence);

    /// Whether an owner whose latest received announcement has the number `sequence` has been informed of the machine's
    /// present drain.
    bool isKnownAt(const MachineId& machine, std::uint64_t sequence) const;

private:
    std::map<MachineId, std::uint64_t> m_firstSequence; ///< First announcement of each machine's present drain.
};

} // namespace rattanrack::jobs
