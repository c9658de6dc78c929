#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/jobs/ownership.h"
#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/relayed_store.h"
#include "rattanrack/peer/messages.h"

#include <memory>
#include <string>

namespace rattanrack::node {

struct JobNodeSettings {
    std::string name;
    std::string peerAddress; ///< "ip:port" at which peers reach this node, which it announces.
    Duration leaseLength {}; ///< Of runs on workers.
    Duration keepEnded {}; ///< Jobs are kept this long after their end.
    Duration longestStop {}; ///< From the result of a stop command until the run has ended.
    Duration longestListAge {}; ///< No run starts on an older worker list.
    Duration longestLease {}; ///< Workers shorten longer leases to this.
    double processorShare { jobs::defaultProcessorShare }; ///< Cores that this node may use, above 0.
    /// "ip:port" at which this node accepts connections of its peers, if something forwards them from `peerAddress`;
    /// empty: `peerAddress`.
    std::string peerListen {};
    /// A configuration is in force this long after it has been written.
    Duration longestConfigurationAge { std::chrono::seconds { 2 } };
};

struct JobNodePorts {
    RelayedStore& store; ///< Used by this node alone; must outlive the node.
    jobs::FleetSource& fleet;
    jobs::WorkerConnector& workers;
    jobs::MachineService& machines;
    jobs::Advisor* advisor { nullptr }; ///< Null if there is none.
};

/// One node of a federation that runs jobs: accepts requests of callers, owns its share of the cells, and exchanges
/// announcements with the other nodes. Thread-safe.
class JobNode {
public:
    /// Joins the federation. Errors: InvalidArgument, Unavailable (the peer address is in use).
    static Result<std::unique_ptr<JobNode>> create(JobNodeSettings settings, JobNodePorts ports, Metrics& metrics);
    ~JobNode();
    JobNode(const JobNode&) = delete;
    JobNode& operator=(const JobNode&) = delete;

    /// The configuration in force; null before the first one.
    std::shared_ptr<const jobs::Configuration> configuration() const;

    /// Whether the store has lately shown which configuration is the newest. Otherwise a newer one may have been in
    /// force for some time, and a route that this one lacks may exist.
    bool isConfigurationConfirmed() const;

    /// Whether the load balancer should send callers to this node.
    bool isReady() const;

    /// Sends a call to the owner of its cell, which is this node or another one, and waits for the reply until
    /// `deadline`. Returns OutcomeUnknown if no reply has arrived by then. Must not be called on the control thread.
    peer::JobReply call(peer::JobCall call, Deadline deadline);

    /// Counts and logs a call that was refused because its key was unknown, or missing (`hasKey` false).
    void reportRejectedKey(const jobs::QueueId& queue, bool hasKey);

    /// Reports not ready and hands all cells back. Returns when that is done, or at `deadline`. Calls are still served.
    void leave(Deadline deadline);

private:
    struct State;
    explicit JobNode(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::node
