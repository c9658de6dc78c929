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
    std::string peerAddress; ///< "ip:port" at which peers reach this node.
    Duration leaseLength {}; ///< Of what runs on workers.
    Duration keepEnded {}; ///< Jobs are remembered this long after their end.
    Duration longestStop {}; ///< From an answered stop until the run has ended.
    Duration longestListAge {}; ///< Nothing starts on a list of workers that is older.
    Duration longestLease {}; ///< Workers shorten leases that are longer.
    double processorShare { jobs::defaultProcessorShare }; ///< Cores that this node may use, above 0.
};

struct JobNodePorts {
    RelayedStore& store; ///< Of its own; outlives the node.
    jobs::FleetSource& fleet;
    jobs::WorkerConnector& workers;
    jobs::MachineService& machines;
    jobs::Advisor* advisor { nullptr }; ///< Null: there is none.
};

/// One node of a federation that runs jobs: takes requests of callers, owns its share of the cells, and knows the
/// others. Safe from every thread.
class JobNode {
public:
    /// Joins the federation. Errors: InvalidArgument, Unavailable (the peer address is in use).
    static Result<std::unique_ptr<JobNode>> create(JobNodeSettings settings, JobNodePorts ports, Metrics& metrics);
    ~JobNode();
    JobNode(const JobNode&) = delete;
    JobNode& operator=(const JobNode&) = delete;

    /// The configuration in force; null before the first one.
    std::shared_ptr<const jobs::Configuration> configuration() const;

    /// Whether callers should be sent here.
    bool isReady() const;

    /// Asks the owner of the call's cell, here or elsewhere, and waits for the reply until `deadline`. Unsettled when
    /// none has come. Not for the control thread.
    peer::JobReply call(peer::JobCall call, Deadline deadline);

    /// Is ready no more and hands all cells back. Returns when that is done, or at `deadline`. Calls go on.
    void leave(Deadline deadline);

private:
    struct State;
    explicit JobNode(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack::node
