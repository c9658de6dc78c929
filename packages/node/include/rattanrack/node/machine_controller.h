#pragma once

#include "rattanrack/base/log.h"
#include "rattanrack/jobs/capacity_planner.h"
#include "rattanrack/jobs/maintenance_scheduler.h"
#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/part_writer.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rattanrack::node {

/// The part whose owner alone gives orders to machines.
extern const PoolId machinePart;

struct MachineTakeover {
    PartTakeover partTakeover;
    std::vector<jobs::WaveProgress> waves;
    std::map<PoolId, int> poolSizes; ///< As the pools were set up; empty: not known yet.
};

/// Blocks; for a thread of the store. Errors as for `takePart`.
Result<MachineTakeover> takeOverMachines(jobs::PartStore& store, const Clock& clock, const NodeId& self);

/// Orders to machines, in the hands of one node at a time. Belongs to the control thread.
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
    void configure(const jobs::Configuration& configuration);

    /// What the owners of cells say of their machines and loads.
    void setCellStatus(
        std::set<jobs::MachineId> movable, std::set<jobs::MachineId> emptied, const std::vector<jobs::CellLoad>& loads);

    /// Machines that are to get nothing new.
    std::set<jobs::MachineId> drainingMachines() const;
    jobs::Fence term() const { return m_writer.term(); }

    /// Call several times a second.
    void tick();
    void handBack() { m_isHandingBack = true; }

private:
    template <typename Work, typename Then> bool run(Work work, Then then);
    void requestMachineList();
    template <typename OrderType>
    using SendCommand = jobs::MachineCommandStatus (jobs::MachineService::*)(
        const OrderType&, const std::string& holder, jobs::Fence);
    template <typename OrderType, typename Taker>
    void send(const OrderType& order, SendCommand<OrderType> call, Taker& taker, const char* event, LogField detail);
    void storePoolSizes();
    void report();
    void write();

    Parts m_parts;
    jobs::MaintenanceScheduler m_maintenance;
    jobs::CapacityPlanner m_plan;
    bool m_arePoolSizesStored { false };
    std::shared_ptr<bool> m_isAlive;
    PartWriter m_writer;
    std::vector<jobs::RowWrite> m_unwritten;
    std::vector<jobs::RowWrite> m_written; ///< In the transaction on its way.
    std::map<std::int64_t, bool> m_reported; ///< Waves whose status is stored; whether as completed.
    TimePoint m_listAt {};
    bool m_isListRequested { false };
    bool m_isReporting { false };
    bool m_isHandingBack { false };
    int m_commandsInFlight { 0 };
};

} // namespace rattanrack::node
