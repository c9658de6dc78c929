#pragma once

#include "fleet_fakes/fake_table.h"
#include "fleet_fakes/fake_workers.h"
#include "rattanrack/policy/fleet_commands.h"
#include "rattanrack/policy/fleet_planner.h"

#include <deque>
#include <memory>
#include <set>

/// A fleet in virtual time: one table, its workers, several planning nodes, operators, and everything that fails.
namespace rattanrack::soak {

/// What a run did, for its last line.
struct WorldReport {
    std::uint64_t steps { 0 };
    std::uint64_t rowsWritten { 0 };
    std::uint64_t conflicts { 0 };
    std::uint64_t reboots { 0 };
    std::uint64_t dispatches { 0 };
    std::uint64_t refusedDispatches { 0 };
    std::uint64_t rollOuts { 0 };
    std::uint64_t moves { 0 };
};

class World {
public:
    explicit World(std::uint64_t seed);

    /// Runs `steps` of virtual time with faults, then without until all is settled.
    WorldReport run(std::uint64_t steps);

private:
    /// One node: its planner, its lagging view, and the steps that it has yet to carry out.
    struct Node {
        NodeId id;
        std::unique_ptr<policy::FleetPlanner> planner;
        policy::FleetSnapshot view;
        TimePoint vmsReadAt {};
        std::uint64_t readStage { 0 };
        std::deque<policy::FleetStep> pending;
        TimePoint pausedUntil {};
        std::set<VmId> unreachable; ///< Workers that this node can't reach.
        TimePoint cutOffUntil {};
    };
    struct InFlight {
        policy::WorkerCommand command;
        TimePoint at;
    };
    using Fault = void (World::*)();

    static const std::vector<Fault>& allFaults();

    void step();
    void breakSomething();
    void pauseNode();
    void replaceNode();
    void cutNodeOff();
    void crashWorker();
    void crashDomain();
    void loseVm();
    void addVm();
    void startOutage();
    void changeSettings();

    void operate();
    void submit(std::size_t node, const policy::CommandAnswer&);
    policy::CommandAnswer randomCommand(Node&);

    void platform();
    void deliverCommands();
    void actNode(Node&);
    void readPart(Node&);
    void observe(Node&);
    void carryOut(Node&, const policy::FleetStep&);
    void carryOut(Node&, const policy::FleetChange&);
    void carryOut(Node&, const policy::WorkerCommand&);
    void dispatch(Node&);
    std::vector<policy::MoveWish> randomWishes(const Node&);

    void endFaults();
    bool isSettled() const;
    void settleAll();

    bool isTableUp() const { return m_now >= m_outageUntil; }
    VmId newVm();

    fakes::Random m_random;
    fakes::FakeTable m_table;
    fakes::FakeWorkers m_workers;
    std::vector<Node> m_nodes;
    std::vector<InFlight> m_inFlight;
    std::deque<std::map<VmId, policy::ListedVm>> m_lists; ///< The platform's list, newest first.
    std::map<PoolId, policy::PoolSettings> m_settings;
    std::map<VmId, TimePoint> m_leavingSince;
    std::uint64_t m_configVersion { 1 };
    TimePoint m_now { std::chrono::hours { 1 } };
    TimePoint m_outageUntil {};
    bool m_hasFaults { true };
    std::vector<Fault> m_faults; ///< The kinds that this run may bring about: one alone, or all.
    std::uint64_t m_stepsPerFault { 60 };
    std::uint64_t m_names { 0 };
    std::size_t m_vmCount { 0 };
    WorldReport m_report;
};

} // namespace rattanrack::soak
