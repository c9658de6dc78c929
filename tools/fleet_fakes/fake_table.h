#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/fleet_change.h"

#include <vector>

namespace rattanrack::fakes {

enum class CommitAnswer { Done, Conflict, Unavailable, Unknown };

/// The fleet's rows with compare-and-set, in one process and typed. Asserts the fleet's invariants on every change that
/// takes effect.
class FakeTable {
public:
    /// Applies the change when all its conditions hold. The answer is the true one.
    CommitAnswer commit(const policy::FleetChange&, TimePoint now);

    /// Applies the change when time reaches `at`, if its conditions hold then.
    void commitLater(const policy::FleetChange&, TimePoint at);

    /// Lets late changes take effect.
    void advance(TimePoint now);

    /// Only the rows are filled in.
    const policy::FleetSnapshot& rows() const { return m_rows; }

    /// When the VM's row last stopped serving; `TimePoint::max()` while it serves or when there is no row.
    TimePoint stoppedServingAt(const VmId&) const;

    std::uint64_t rowsWritten() const { return m_rowsWritten; }
    std::uint64_t conflicts() const { return m_conflicts; }

private:
    struct Late {
        policy::FleetChange change;
        TimePoint at;
    };
    bool conditionsHold(const policy::FleetChange&) const;
    void store(const policy::FleetChange&, TimePoint now);

    policy::FleetSnapshot m_rows;
    std::map<VmId, TimePoint> m_stopped;
    std::vector<Late> m_late;
    policy::RecordVersion m_version { 0 };
    std::uint64_t m_rowsWritten { 0 };
    std::uint64_t m_conflicts { 0 };
};

} // namespace rattanrack::fakes
