#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/configuration.h"
#include "rattanrack/jobs/list_membership.h"
#include "rattanrack/jobs/machine.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// Stored progress of a wave, from which the next owner continues.
struct WaveProgress {
    std::int64_t number { 0 };
    std::int64_t receivedUnixMs { 0 };
    std::set<MachineId> startedMachines; ///< Machines whose maintenance has started, or that are not part of the wave.
    bool isCompleted { false };

    friend bool operator==(const WaveProgress&, const WaveProgress&) = default;
};

std::string encode(const WaveProgress&);

/// Errors: MalformedMessage.
Result<WaveProgress> decodeWaveProgress(const std::string& bytes);

/// Load of a pool, as announced by its owner.
struct CellLoad {
    PoolId cell;
    Millicores used; ///< Reserved by running tasks.
    Millicores waiting; ///< Demand of the tasks that could run now and still be on time.
    Millicores offered; ///< Processors that the jobs submitted by callers would keep busy.

    friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

/// A wave has been completed, or a machine of a completed wave has turned out to exist.
struct WaveDecision {
    std::int64_t wave { 0 };
    bool isCompleted { false };
    std::size_t startedMachines { 0 };
    std::size_t goneMachines { 0 }; ///< Not started, and removed as the list of machines shows.
    Duration listAge {}; ///< Time since the latest list was requested.
};

struct MaintenanceOutput {
    std::vector<MaintenanceCommand> commands;
    std::vector<WaveProgress> changedProgress; ///< To be stored.
    std::vector<WaveDecision> decisions;
};

/// Schedules the machines of maintenance waves: within the wave's time limit, never more machines at once than the wave
/// allows, and only machines on which nothing runs. Performs no I/O and reads no clock. Not thread-safe.
class MaintenanceScheduler {
public:
    /// No command is returned before `commandsAllowedFrom`: until then an earlier owner may still be sending commands.
    MaintenanceScheduler(std::vector<WaveProgress> stored, TimePoint commandsAllowedFrom);

    /// Sets the waves that operators have requested, as received now. Their machines count as present until a list of
    /// machines shows that they have been removed.
    void setWaves(const std::vector<MaintenanceWave>& waves, std::int64_t unixMs, TimePoint now);

    /// Sets the list of machines, which must be complete.
    void setMachines(const std::vector<Machine>& machines, TimePoint requestedAt, TimePoint now);

    /// Sets the pools that have an owner, which drains machines. Nothing runs on the machines of other pools.
    void setOwnedPools(std::set<PoolId> pools) { m_ownedPools = std::move(pools); }
    void setDrainedMachines(DrainedMachines machines) { m_drainedMachines = std::move(machines); }
    void setLoads(const std::vector<CellLoad>& loads);

    /// Machines that must get no new work: those to be drained, and those that were taken down until they are listed as
    /// up.
    std::set<MachineId> drainingMachines() const;

    /// Machines that are being moved to another pool.
    void setMovingMachines(std::set<MachineId> machines) { m_movingMachines = std::move(machines); }

    MaintenanceOutput advance(TimePoint now, std::int64_t unixMs);
    void onResult(const MaintenanceCommand& command, MachineCommandStatus status, TimePoint now);

    /// Progress of all waves, as it may be reported to operators.
    std::vector<WaveProgress> waveProgress() const;

private:
    struct TrackedMachine {
        Machine machine;
        ListMembership membership;
        bool isCommandInFlight { false };
        /// A command to take the machine down was sent, and the machine has not been listed as up again since.
        bool isTakenDown { false };
        std::int64_t wave { 0 }; ///< The wave for which it is down.
        WorkerId workerBefore;
        bool needsRetry { false }; ///< The last command got no response.
        bool mayBeDown { false }; ///< A command that got no response may have been carried out.
        TimePoint resultAt {};
        TimePoint retryAt {};
    };
    struct ActiveWave {
        MaintenanceWave request;
        WaveProgress progress;
        bool isChanged { true };
    };

    /// Machines of a wave whose maintenance has not started.
    struct RemainingMachines {
        std::size_t listed { 0 };
        std::size_t gone { 0 };
        std::size_t unknown { 0 }; ///< Not listed, and not known to be gone.
    };

    int machinesDown(const ActiveWave& wave) const;
    RemainingMachines remainingMachines(const ActiveWave& wave) const;
    void decideCompletion(ActiveWave& wave, TimePoint now, MaintenanceOutput& output) const;
    void chooseMachinesToDrain(TimePoint now, std::int64_t unixMs);
    bool canBeTakenDown(const TrackedMachine& machine, TimePoint now) const;
    bool isDrained(const TrackedMachine& machine) const;
    std::map<PoolId, double> poolLoads() const;

    TimePoint m_commandsAllowedFrom;
    std::map<std::int64_t, ActiveWave> m_waves;
    std::map<std::int64_t, WaveProgress> m_stored;
    std::map<MachineId, TrackedMachine> m_machines;
    std::map<PoolId, int> m_poolSizes;
    std::map<PoolId, CellLoad> m_loads;
    std::set<PoolId> m_ownedPools;
    DrainedMachines m_drainedMachines;
    std::set<MachineId> m_machinesToDrain;
    std::set<MachineId> m_movingMachines;
    TimePoint m_listRequestedAt {}; ///< Of the latest list of machines; unset before the first one.
};

} // namespace rattanrack::jobs
