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

/// Simulates several nodes, the network between them and the table in virtual time, with faults that a test sets.
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
        std::vector<std::function<void()>> deferred; ///< Messages and responses that arrived during a pause.
        std::vector<MemberChange> changes;
        std::vector<ProposalOutcome> outcomes;
        std::uint64_t highestConfigVersion { 0 };
        std::uint64_t fenceCount { 0 };
        std::set<DutyName> taken; ///< According to the changes that `duties` has reported.
    };

    struct Faults {
        bool isTableDown { false };
        bool areRegionsPartitioned { false };
        double responseLossRate { 0 }; ///< Fraction of responses that are lost or late; the commits may take effect.
        double messageLossRate { 0 };
    };

    explicit SimulatedCluster(std::uint32_t seed, std::vector<DutyName> duties = {});

    /// Starts a node at the address given by `index`. A second start with the same index replaces the node.
    Node& start(int index, int region = 0);
    void kill(const NodeId& id);
    void pause(const NodeId& id);
    /// What happens to messages and responses that arrived during a pause.
    enum class Backlog { Delivered, Dropped };
    void resume(const NodeId& id, Backlog backlog = Backlog::Delivered);
    void run(Duration duration);

    /// Commits a write on behalf of a duty with the given guard, as a holder may do that resumes after a long pause.
    /// Returns whether the table accepted the write.
    bool guardedWrite(const NodeId& writer, const DutyName& name, const platform::Condition& guard);
    void propose(Node& node, ConfigProposal proposal);

    Faults faults;
    InMemoryTable table;
    std::map<NodeId, Node> nodes;
    TimePoint now;
    std::map<std::string, std::uint64_t> accepted; ///< Accepted configuration versions, by attempt.
    std::map<std::string, std::uint64_t> counts; ///< Numbers of messages and table requests, by kind.

private:
    void schedule(TimePoint time, std::function<void()> action);
    void deliver(const NodeId& id, const std::function<void(Node&)>& action);
    void tick(const NodeId& id);
    void handleOutput(Node& node, MembershipOutput output);
    void handleOutput(Node& node, const DutiesOutput& output);
    void handleOutput(Node& node, ConfigDistributionOutput output);
    template <typename Core> void request(Node& node, Core Node::*core, const TableRequests& requests);
    template <typename Core> void commit(const NodeId& id, Core Node::*core, const CommitRows& request);
    template <typename Core> void respond(const NodeId& id, Core Node::*core, TableResponse response, Duration delay);
    platform::CommitOutcome apply(const platform::Transaction& transaction);
    void recordConfiguration(const platform::Transaction& transaction);
    std::map<std::string, std::string> dutyHolders(const platform::Transaction& transaction) const;
    void send(Node& from, const std::string& address, Message message);
    Duration latency();
    bool occurs(double probability);

    std::vector<DutyName> m_dutyNames;
    std::mt19937 m_random;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_nextEvent { 0 };
    int m_startCount { 0 };
    std::map<std::pair<std::string, platform::RowVersion>, NodeId> m_writers; ///< Of accepted guarded writes, by guard.
};

} // namespace rattanrack::peer
