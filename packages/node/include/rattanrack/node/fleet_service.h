#pragma once

#include "rattanrack/config/federation.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/node/fleet_store.h"
#include "rattanrack/node/worker_directory.h"
#include "rattanrack/platform/vm_list.h"
#include "rattanrack/policy/fleet_commands.h"
#include "rattanrack/policy/fleet_planner.h"
#include "rattanrack/policy/traffic.h"

#include <functional>
#include <map>
#include <optional>

namespace rattanrack::node {

/// Maintains the node's view of the fleet, publishes each change of it to the traffic policy, and carries out the
/// decisions of the planner while this node holds the planning duty. All methods must be called on the control thread;
/// blocking calls run on the thread pool.
class FleetService {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ElasticThreadPool& platformThreads;
        FleetStore& store;
        platform::VmList& vmList;
        WorkerDirectory& workers;
        NodeId self;
        std::function<void(const policy::ViewChanged&)> onView;
    };

    explicit FleetService(Parts parts);

    /// Starts reading the table and the VM list periodically.
    void start();

    /// Applies a configuration that has come into force.
    void setConfiguration(const config::Federation& federation, std::uint64_t version);

    /// Sets whether this node plans. Only one node does so at a time, but several at once do no harm.
    void setPlanner(bool isPlanner);

    const policy::FleetSnapshot& snapshot() const { return m_snapshot; }

    /// When the table was last read successfully; empty before the first time.
    std::optional<TimePoint> lastTableContact() const { return m_lastTableContact; }

    /// Highest version of a row in the view.
    platform::RowVersion viewVersion() const { return m_viewVersion; }

    /// Commits an operator's command. `onDone` is called on the control thread.
    using OnCommitted = std::function<void(platform::CommitOutcome)>;
    void commit(policy::FleetChange change, OnCommitted onDone);

    AttemptId nextAttempt() { return m_planner.nextAttempt(); }

private:
    void readTable();
    void onTableRead(std::optional<FleetRows> rows);
    void readList();
    void onListRead(std::optional<std::vector<platform::VmDescription>> vms);
    void observeWorkers();
    void plan();
    void execute(const policy::FleetChange& change);
    void execute(const policy::WorkerCommand& command);
    void publishView();

    Parts m_parts;
    policy::FleetPlanner m_planner;
    policy::FleetSnapshot m_snapshot;
    std::vector<platform::VmDescription> m_list;
    std::vector<policy::KindPolicy> m_kinds;
    std::vector<policy::TeamPolicy> m_teams;
    std::vector<policy::PoolPolicy> m_pools;
    std::vector<policy::WorkerView> m_publishedWorkers;
    platform::RowVersion m_viewVersion { 0 };
    platform::RowVersion m_readFrom { 0 };
    std::optional<TimePoint> m_lastTableContact;
    Deadline m_nextFullRead;
    std::size_t m_changesInFlight { 0 };
    bool m_isPlanner { false };
    bool m_needsFullRead { true };
    bool m_mustPublish { true };
};

} // namespace rattanrack::node
