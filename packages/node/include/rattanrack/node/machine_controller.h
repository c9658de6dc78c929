#pragma once

#include "rattanrack/base/log.h"
#include "rattanrack/jobs/capacity_planner.h"
#include "rattanrack/jobs/maintenance_scheduler.h"
#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/part_writer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rattanrack::node {

/// The part whose owner is the only node that sends commands to machines.
extern const PoolId machinePart;

struct MachineTakeover {
    PartTakeover partTakeover;
    std::vector<jobs::WaveProgress> waves;
    std::map<PoolId, int> poolSizes; ///< Configured sizes; empty if not stored yet.
};

/// Takes over the machine part and reads its rows. Blocks; must be called on a store thread. Errors: as for
/// `takeOverPart`.
Result<MachineTakeover> takeOverMachines(jobs::PartStore& store, const Clock& clock, const NodeId& self);

/// Reads the waves and pool sizes once this node has taken the machine part over. Errors as `takeOverMachines`.
Result<MachineTakeover> readMachines(jobs::PartStore& store, PartTakeover partTakeover);

/// Sends maintenance and move commands to machines. Exactly one node does so at a time: the owner of the machine part.
/// Control thread only.
class MachineController {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ElasticThreadPool& threads;
        jobs::PartStore& store;
        jobs::MachineService& machines;
        jobs::FleetSource& fleet;
        NodeId self;
        std::function<void()> onLost;
    };

    MachineController(Parts parts, MachineTakeover takeover);
    ~MachineController();
    MachineController(const MachineController&) = delete;
    MachineController& operator=(const MachineController&) = delete;

    void setWaves(const std::vector<jobs::MaintenanceWave>& waves);

    /// `cells`: the pools whose machines are drained before they are maintained or moved.
    void configure(const jobs::Configuration& configuration, const std::set<PoolId>& cells);

    /// Sets what the owners of cells report about their machines and loads.
    void setCellStatus(
        std::set<jobs::MachineId> movable, jobs::DrainedMachines drained, const std::vector<jobs::CellLoad>& loads);

    /// Machines on which no new run starts.
    std::set<jobs::MachineId> drainingMachines() const;
    jobs::Fence term() const { return m_writer.term(); }

    /// Decides on commands, sends them and stores the progress. Must be called several times a second.
    void tick();
    void handBack() { m_isHandingBack = true; }

private:
    PartWriter::Callbacks writerCallbacks();
    void restoreRowsInFlight();
    void divideRowsInFlight();
    template <typename Work, typename Then> bool run(Work work, Then then);
    void requestMachineList();
    template <typename CommandType>
    using SendCommand = jobs::MachineCommandStatus (jobs::MachineService::*)(
        const CommandType&, const std::string& holder, jobs::Fence);
    template <typename CommandType, typename Scheduler>
    void send(const CommandType& command, SendCommand<CommandType> call, Scheduler& scheduler, const char* event,
        LogField detail);
    /// Until when commands may be sent, unless the ownership is confirmed again before.
    Deadline permittedUntil() const;
    void storePoolSizes();
    void reportDecision(const jobs::WaveDecision& decision) const;
    void reportWaves();
    void writeIfDue();

    Parts m_parts;
    TimePoint m_lastCommandArrivesBy; ///< No command of this or an earlier owner arrives later.
    jobs::MaintenanceScheduler m_maintenance;
    jobs::CapacityPlanner m_planner;
    bool m_arePoolSizesStored { false };
    std::shared_ptr<bool> m_isAlive;
    PartWriter m_writer;
    std::vector<jobs::RowWrite> m_unwrittenRows;
    std::vector<jobs::RowWrite> m_rowsInFlight; ///< Rows of the transaction in flight.
    /// The platform takes 100 rows in a transaction, the owner's row included.
    static constexpr std::size_t maxRowsInTransaction = 90;
    std::size_t m_maxRowsInTransaction { maxRowsInTransaction };
    std::map<std::int64_t, bool> m_reportedWaves; ///< Waves whose status is stored, and whether as completed.
    TimePoint m_nextListAt {};
    bool m_isListRequested { false };
    bool m_isReporting { false };
    bool m_isHandingBack { false };
    int m_commandsInFlight { 0 };
};

} // namespace rattanrack::node
