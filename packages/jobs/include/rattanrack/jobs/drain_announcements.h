#pragma once

#include "rattanrack/jobs/machine.h"

#include <cstdint>
#include <map>
#include <set>

namespace rattanrack::jobs {

/// Tells whether an owner that calls a machine empty does so knowing that it is to stay empty. A machine that was
/// closed, opened and closed again may have got new work in between, while the word of its emptiness was on its way.
/// Pure; not thread-safe.
class DrainAnnouncements {
public:
    /// The machines that news number `sequence` calls closing.
    void record(const std::set<MachineId>& closing, std::uint64_t sequence);

    /// Whether an owner that last heard news number `heard` has known of the machine's present closing.
    bool isKnownAt(const MachineId& machine, std::uint64_t heard) const;

private:
    std::map<MachineId, std::uint64_t> m_since;
};

} // namespace rattanrack::jobs
