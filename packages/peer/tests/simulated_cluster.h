#pragma once

#include "in_memory_table.h"

#include "rattanrack/peer/config_distribution.h"
#include "rattanrack/peer/duties.h"
#include "rattanrack/peer/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattanrack::peer {

/// Several nodes, their links and the table in virtual time, with faults that a test switches on and off.
class SimulatedCluster {
public:
    struct Node {
        NodeId id;
        std::string address;
        int region { 0 };
        std::unique_ptr<Membership> membership;
        std::unique_ptr<Duties> duties;
        std::unique_ptr<ConfigDistribution> config;
        bool isPaused { false };
        bool isPartitionedFromTable { false };
        std::vector<std::function<void()>> deferred; ///< What arrived during a pause.
        std::vector<MemberChange> changes;
        std::vector<ProposalOutcome> outcomes;
        std::uint64_t highestConfigVersion { 0 };
        std::uint64_t fenceCount { 0 };
        std::set<DutyName> taken; ///< By the changes that the core has reported.
    };

    struct Faults {
        bool isTableDown { false };
        bool areRegionsPartitioned { false };
        double responseLossRate { 0 }; ///< Part of commits whose answer is lost, with or without effect.
        double messageLossRate { 0 };
    };

    explicit SimulatedCluster(std::uint32_t seed, std::vector<DutyName> duties = {});

    /// Starts a node; `index` names its address, so a second start at one index is a replacement.
    Node& start(int index, int region = 0);
    void kill(const NodeId& id);
    void pause(const NodeId& id);
    enum class Backlog { Delivered, Dropped }; ///< What becomes of that which arrived during a pause.
    void resume(const NodeId& id, Backlog arrivals = Backlog::Delivered);
    void run(Duration duration);

    /// A write on behalf of a duty with the given guard, as a holder that woke up late would send it. True when it
    /// was accepted.
    bool guardedWrite(const NodeId& writer, const DutyName& name, const platform::Condition& guard);
    void propose(Node& node, ConfigProposal proposal);

    Faults faults;
    InMemoryTable table;
    std::map<NodeId, Node> nodes;
    TimePoint now;
    std::map<std::string, std::uint64_t> accepted; ///< Configuration versions by the attempt that the table took.
    std::map<std::string, std::uint64_t> counts; ///< Messages and table requests by kind.

private:
    void at(TimePoint time, std::function<void()> action);
    void deliver(const NodeId& id, const std::function<void(Node&)>& action);
    void tick(const NodeId& id);
    void carryOut(Node& node, MembershipOutput output);
    void carryOut(Node& node, const DutiesOutput& output);
    void carryOut(Node& node, ConfigDistributionOutput output);
    template <typename Core> void request(Node& node, Core Node::*core, const TableRequests& requests);
    template <typename Core> void commit(const NodeId& id, Core Node::*core, const CommitRows& request);
    template <typename Core> void answer(const NodeId& id, Core Node::*core, TableResponse answer, Duration delay);
    platform::CommitOutcome apply(const platform::Transaction& transaction);
    void recordConfiguration(const platform::Transaction& transaction);
    std::map<std::string, std::string> dutyHolders(const platform::Transaction& transaction) const;
    void send(Node& from, const std::string& address, Message message);
    Duration latency();
    bool occurs(double probability);

    std::vector<DutyName> m_duties;
    std::mt19937 m_random;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_nextEvent { 0 };
    int m_startCount { 0 };
    std::map<std::pair<std::string, platform::RowVersion>, NodeId> m_writers; ///< Of accepted guarded writes.
};

} // namespace rattanrack::peer
