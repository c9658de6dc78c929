#pragma once

#include "rattanrack/base/log.h"
#include "rattanrack/jobs/capacity_plan.h"
#include "rattanrack/jobs/maintenance.h"
#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/part_writer.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rattanrack::node {

/// The part whose owner alone gives orders to machines.
extern const PoolId machineDutyName;

struct MachineDutyTakeover {
    TakenPart partTakeover;
    std::vector<jobs::WaveProgress> waves;
    std::map<PoolId, int> poolSizes; ///< As the pools were set up; empty: not known yet.
};

/// Blocks; for a thread of the store. Errors as for `takePart`.
Result<MachineDutyTakeover> takeMachineDuty(jobs::PartStore& store, const Clock& clock, const NodeId& self);

/// Orders to machines, in the hands of one node at a time. Belongs to the control thread.
class MachineDuty {
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

    MachineDuty(Parts parts, MachineDutyTakeover takeover);
    ~MachineDuty();
    MachineDuty(const MachineDuty&) = delete;
    MachineDuty& operator=(const MachineDuty&) = delete;

    void setWaves(const std::vector<jobs::MaintenanceWave>& waves);
    void configure(const jobs::Configuration& configuration);

    /// What the owners of cells say of their machines and loads.
    void setCellNews(
        std::set<jobs::MachineId> movable, std::set<jobs::MachineId> emptied, const std::vector<jobs::CellLoad>& loads);

    /// Machines that are to get nothing new.
    std::set<jobs::MachineId> drainingMachines() const;
    jobs::Fence term() const { return m_writer.term(); }

    /// Call several times a second.
    void tick();
    void handBack() { m_isHandingBack = true; }

private:
    template <typename Work, typename Then> bool run(Work work, Then then);
    void askForList();
    template <typename OrderType>
    using SendOrder
        = jobs::MachineCallStatus (jobs::MachineService::*)(const OrderType&, const std::string& holder, jobs::Fence);
    template <typename OrderType, typename Taker>
    void send(const OrderType& order, SendOrder<OrderType> call, Taker& taker, const char* event, LogField detail);
    void keepSizes();
    void report();
    void write();

    Parts m_parts;
    jobs::MaintenanceScheduler m_maintenance;
    jobs::CapacityPlan m_plan;
    bool m_areSizesKept { false };
    std::shared_ptr<bool> m_isAlive;
    PartWriter m_writer;
    std::vector<jobs::RowWrite> m_unwritten;
    std::vector<jobs::RowWrite> m_written; ///< In the transaction on its way.
    std::map<std::int64_t, bool> m_reported; ///< Waves whose status is stored; whether as completed.
    TimePoint m_listAt {};
    bool m_isListAsked { false };
    bool m_isReporting { false };
    bool m_isHandingBack { false };
    int m_ordersOnTheirWay { 0 };
};

} // namespace rattanrack::node
