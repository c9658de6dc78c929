#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace rattanrack::policy {

/// Tells the workers of one pool that fail what they are given from the others. A worker is ejected on evidence against
/// it that does not hold for the pool at large, and never so many that the pool loses more than a set share. After a
/// time one request at a time probes it; a success readmits it. A suspect that the cap keeps in service gets a request
/// now and then, until it succeeds.
class WorkerHealth {
public:
    /// Keeps the records of these workers only. At most `maxEjectedShare` of them, and at least one of several, may be
    /// ejected at a time.
    void setWorkers(const std::vector<WorkerView>&, double maxEjectedShare);

    /// Whether the worker may be given a request now.
    bool admits(const VmId&, TimePoint now) const;

    void recordDispatch(const VmId&, TimePoint now);
    void recordEnd(const VmId&, AttemptEnd, TimePoint now);

    /// Whether failures on this worker are likely its own fault.
    bool isSuspect(const VmId&) const;
    std::size_t ejected() const { return m_ejected; }

private:
    struct Record {
        double badness { 0 }; // 0: all well, 1: everything fails
        bool isEjected { false };
        bool isProbing { false };
        Deadline probeAt {}; ///< Of an ejected worker.
        Deadline tryAt {}; ///< Of a suspect that the cap keeps in service.
        std::uint32_t failedProbes { 0 };
    };

    bool isSuspect(const Record&) const;
    void eject(Record&, TimePoint now);
    void recordProbe(Record&, bool isBad, TimePoint now);

    std::unordered_map<VmId, Record> m_records;
    double m_poolBadness { 0 };
    std::size_t m_maxEjected { 0 };
    std::size_t m_ejected { 0 };
};

} // namespace rattanrack::policy
