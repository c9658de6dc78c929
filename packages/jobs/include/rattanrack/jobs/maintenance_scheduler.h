#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/base/time.h"
#include "rattanrack/jobs/configuration.h"
#include "rattanrack/jobs/machine.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::jobs {

/// What is stored of a wave, so that its next holder goes on where this one ended.
struct WaveProgress {
    std::int64_t number { 0 };
    std::int64_t receivedUnixMs { 0 };
    std::set<MachineId> startedMachines; ///< Their maintenance has begun, or they are not of the wave.
    bool isCompleted { false };

    friend bool operator==(const WaveProgress&, const WaveProgress&) = default;
};

std::string encode(const WaveProgress&);

/// Errors: MalformedMessage.
Result<WaveProgress> decodeWaveProgress(const std::string& bytes);

/// How full a pool is, as its owner says.
struct CellLoad {
    PoolId cell;
    Millicores used; ///< Taken by what runs.
    Millicores waiting; ///< Wanted by what could run now, and still be in time.
    Millicores offered; ///< That what callers hand in would keep busy.

    friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

struct MaintenanceOutput {
    std::vector<MaintenanceCommand> commands;
    std::vector<WaveProgress> changedProgress; ///< To be stored.
};

/// Carries out waves of maintenance: in time, never more machines at once than a wave allows, only machines on which
/// nothing runs. Pure: no I/O, no clock. Not thread-safe.
class MaintenanceScheduler {
public:
    /// `mayOrderFrom`: an earlier holder may still be giving orders until then.
    MaintenanceScheduler(std::vector<WaveProgress> stored, TimePoint mayOrderFrom);

    void setWaves(const std::vector<MaintenanceWave>& waves, std::int64_t unixMs);
    void setMachines(const std::vector<Machine>& machines, TimePoint askedAt, TimePoint now);

    /// Pools that have an owner, which empties machines; those of other pools have nothing running.
    void setOwnedPools(std::set<PoolId> cells) { m_cells = std::move(cells); }
    void setDrainedMachines(std::set<MachineId> machines) { m_emptied = std::move(machines); }
    void setLoads(const std::vector<CellLoad>& loads);

    /// Machines that are to get nothing new: those to be emptied, and those ordered down until they are seen back.
    std::set<MachineId> drainingMachines() const;

    /// Machines that are on their way to another pool.
    void setMovingMachines(std::set<MachineId> machines) { m_moving = std::move(machines); }

    MaintenanceOutput advance(TimePoint now, std::int64_t unixMs);
    void onResult(const MaintenanceCommand& order, MachineCommandStatus status, TimePoint now);

    /// The stored status of a wave may say so from now on.
    std::vector<WaveProgress> waveProgress() const;

private:
    struct Tracked {
        Machine machine;
        bool isListed { false };
        TimePoint listedAt {};
        bool isOrderOnItsWay { false };
        bool isDown { false }; ///< Ordered down, and not seen up again since.
        std::int64_t wave { 0 }; ///< For which it is down.
        WorkerId workerBefore;
        bool isUnsettled { false }; ///< The last order had no answer.
        bool mayBeDown { false }; ///< An order without an answer may have been carried out.
        TimePoint answeredAt {};
        TimePoint orderAgainAt {};
    };
    struct ActiveWave {
        MaintenanceWave order;
        WaveProgress progress;
        bool isChanged { true };
    };

    int downOf(const ActiveWave& wave) const;
    bool isDone(const ActiveWave& wave, TimePoint now) const;
    void chooseClosing(TimePoint now, std::int64_t unixMs);
    bool isUpForOrders(const Tracked& machine, TimePoint now) const;
    bool isEmpty(const Tracked& machine) const;
    std::map<PoolId, double> poolLoads() const;

    TimePoint m_mayOrderFrom;
    std::map<std::int64_t, ActiveWave> m_waves;
    std::map<std::int64_t, WaveProgress> m_stored;
    std::map<MachineId, Tracked> m_machines;
    std::map<PoolId, int> m_poolSizes;
    std::map<PoolId, CellLoad> m_loads;
    std::set<PoolId> m_cells;
    std::set<MachineId> m_emptied;
    std::set<MachineId> m_closing;
    std::set<MachineId> m_moving;
    bool m_hasList { false };
};

} // namespace rattanrack::jobs
