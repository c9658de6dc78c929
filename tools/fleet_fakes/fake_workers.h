#pragma once

#include "fleet_fakes/random.h"
#include "rattanrack/policy/fleet_change.h"

#include <optional>
#include <vector>

namespace rattanrack::fakes {

struct FakeTask {
    PoolId pool;
    TimePoint endsAt;
    TimePoint startedAt;
};

/// One VM with its worker process. It obeys epochs and boots as a real worker must, and asserts that no reboot ends
/// work and that one pool's work never runs beside another's.
struct FakeWorker {
    std::uint64_t bootId { 0 };
    std::uint64_t epoch { 0 };
    bool isDraining { true };
    TimePoint upAt {}; ///< Booting or dead until then.
    std::vector<FakeTask> tasks;
    RackId rack;
    DataCenterId dataCenter;
    bool isLeaving { false };

    bool isUp(TimePoint now) const { return now >= upAt; }
};

class FakeWorkers {
public:
    /// Reports of running work are this late.
    static constexpr Duration usageLag = std::chrono::milliseconds { 2500 };

    explicit FakeWorkers(Random& random)
        : m_random(&random)
    {
    }

    void add(const VmId&, const RackId&, const DataCenterId&, TimePoint upAt);
    void remove(const VmId& id) { m_workers.erase(id); }

    /// Ends what runs and boots anew; up again at `upAt`.
    void crash(const VmId&, TimePoint upAt);

    /// Carries a command out, or refuses it as old.
    void obey(const policy::WorkerCommand&, TimePoint now, Duration rebootTime);

    /// True when the worker takes the task.
    bool dispatch(const VmId&, const FakeTask&, std::uint64_t epoch, TimePoint now);

    /// What the worker answers; nothing while it is down.
    std::optional<policy::WorkerObservation> report(const VmId&, TimePoint now);

    std::map<VmId, FakeWorker>& all() { return m_workers; }
    std::uint64_t reboots() const { return m_reboots; }

private:
    static void forgetTasks(FakeWorker&, TimePoint now);
    static std::uint32_t running(const FakeWorker&, TimePoint at);

    Random* m_random;
    std::map<VmId, FakeWorker> m_workers;
    std::uint64_t m_boots { 0 };
    std::uint64_t m_reboots { 0 };
};

} // namespace rattanrack::fakes
