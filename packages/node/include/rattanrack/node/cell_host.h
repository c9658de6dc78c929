#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/jobs/cell.h"
#include "rattanrack/jobs/cell_queues.h"
#include "rattanrack/jobs/ownership.h"
#include "rattanrack/jobs/ports.h"
#include "rattanrack/node/cell_log.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/node/node_load_monitor.h"
#include "rattanrack/node/part_writer.h"
#include "rattanrack/node/pass_scheduler.h"
#include "rattanrack/node/quota_client.h"
#include "rattanrack/node/unconfirmed_starts.h"
#include "rattanrack/node/worker_links.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace rattanrack::node {

/// The workers of all pools, as listed in the store.
struct WorkerList {
    std::vector<jobs::WorkerDescription> workers;
    TimePoint requestedAt {}; ///< The content of the list is not older than this.
};

/// Result of a takeover: the part and everything that is stored in it.
struct CellTakeover {
    PartTakeover partTakeover;
    std::vector<jobs::StoredJob> jobs;
    jobs::ClosedQueues closedQueues;
    jobs::QueueAssignments assignments;
    std::optional<WorkerList> workers; ///< Read during the takeover; empty if that failed.
};

/// Takes a cell over: becomes the owner of its part and reads the part. Blocks; must be called on a store thread.
/// Errors: Conflict (another node was faster), Unavailable, OutcomeUnknown, MalformedMessage.
Result<CellTakeover> takeOverCell(jobs::PartStore& store, const Clock& clock, const PoolId& cell, const NodeId& self);

/// Reads the jobs of a cell whose part this node has taken over. Errors as `takeOverCell`.
Result<CellTakeover> readCell(jobs::PartStore& store, PartTakeover partTakeover, const PoolId& cell);

/// The owner that the cell was taken over from.
jobs::PreviousOwner previousOwner(const PartTakeover& takeover);

struct CellTimeLimits {
    Duration leaseLength {};
    Duration keepEnded {};
    Duration longestStop {};
    Duration longestListAge {}; ///< No run starts on an older worker list.
    Duration longestLease {}; ///< Workers shorten longer leases to this.
};

/// Runs one cell that this node owns: schedules the cell's passes, stores its rows, and sends its commands to the
/// workers. All methods must be called on the control thread.
class CellHost {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        Metrics& metrics;
        CellLog& log;
        NodeLoadMonitor& loadMonitor;
        ElasticThreadPool& storeThreads;
        ElasticThreadPool& workerThreads;
        jobs::PartStore& store;
        jobs::WorkerConnector& connector;
        jobs::Advisor* advisor { nullptr }; ///< Null if no queue needs advice.
        ElasticThreadPool* advisorThread { nullptr };
        std::function<void(const jobs::CallerReply&)> onReply;
        std::function<void(const jobs::QueueAddress&)> onQueueClaimed; ///< The claim has ended, with any result.
        /// Called once, when another node owns the cell or this node has handed it back.
        std::function<void()> onLost;
    };

    CellHost(Parts parts, const PoolId& pool, const CellTimeLimits& times, CellTakeover takeover);
    ~CellHost();
    CellHost(const CellHost&) = delete;
    CellHost& operator=(const CellHost&) = delete;

    /// Applies what a configuration says of the cell's queues and workers, and of all customers.
    void configure(const jobs::Configuration& configuration);

    /// Applies the routes of a configuration. `routes` must not be null.
    void setRoutes(std::uint64_t version, std::shared_ptr<const jobs::QueueRoutes> routes);
    /// Claims the queues of jobs whose rows name no address and whose routes lead here.
    void setQueuesOfEarlierRelease(const std::vector<jobs::Route>& routes);
    void setAssignments(const jobs::QueueAssignments& assignments);
    void setWorkers(const WorkerList& list);
    void setDrainingMachines(std::set<jobs::MachineId> machines);

    /// After a takeover, waits for workers that can't be contacted only as long as leases of earlier owners may last,
    /// by what `ownership` has recorded of these owners. The next transactions tell the next owner.
    void limitEarlierGrants(const jobs::Ownership& ownership);
    jobs::DrainedMachines drainedMachines() const;

    /// Which cell accepts new jobs of a queue, and which one has a job that this cell does not have.
    const jobs::CellQueues& queues() const { return m_queues; }

    /// Claims a queue that is claimable; `Parts::onQueueClaimed` follows. Without effect while a claim is in progress.
    /// `callVersion`: as in `CellQueues::access`.
    void claimQueue(const jobs::QueueAddress& queue, std::uint64_t callVersion = 0);

    /// False while no queue can be claimed: the store does not respond, or the cell is being handed back.
    bool mayClaimQueues() const { return !m_isHandingBack && m_writer.isStoreReachable(); }

    jobs::Acceptance submit(const jobs::Job& job, jobs::CallerToken token);
    std::optional<jobs::Acceptance> cancel(const jobs::JobId& job, jobs::CallerToken token);
    std::optional<jobs::JobState> state(const jobs::JobId& job) const { return m_cell.state(job); }

    /// As `Cell::isOfOtherCustomer`.
    bool isOfOtherCustomer(
        const jobs::JobId& job, const jobs::CustomerId& customer, const jobs::QueueAddress& queue) const
    {
        return m_cell.isOfOtherCustomer(job, customer, queue);
    }

    /// False if another owner may have accepted jobs that this owner does not have.
    bool isJobListComplete() const;
    int unstartedJobs(const jobs::QueueId& queue) const { return m_cell.unstartedJobs(queue); }

    /// Starts no more runs, stores what is not stored yet, and gives the part up; `onLost` follows.
    void handBack();

    std::vector<jobs::MachineId> movableMachines() const { return m_cell.movableMachines(); }
    jobs::CellLoad load() const { return m_cell.load(m_parts.clock.now()); }
    std::size_t commandsInFlight() const { return m_cell.commandsInFlight(); }
    jobs::Fence term() const { return m_writer.term(); }

private:
    void wake();
    void schedulePass(Duration delay);
    void runPass();
    void handleOutput(jobs::CellOutput output);
    void requestAdvice(const jobs::AdviceRequest& request);
    void handleEvent(const jobs::CellEvent& event);
    void recordRunEvent(const jobs::RunEvent& event);
    void recordTrialQueue(const jobs::TrialQueueEvent& event);
    void reportReplaced();
    PartWriter::Callbacks writerCallbacks();
    WorkerLinks::Callbacks linkCallbacks();
    void commitIfDue();
    void onCommitStored();
    void onCommitNotStored();
    void onCommitRejected();
    void reportWorkersWithoutRoom();
    jobs::Authority authority() const;
    void reportRecovery();

    // Claims and closes of queues: cell_host_queues.cpp
    void claimQueuesIfDue();
    void removeEndedAssignments();
    void onQueueClaimed(const jobs::QueueAddress& queue, const std::optional<jobs::QueueClaimResult>& result);
    void reportClaim(const jobs::QueueAddress& queue, const jobs::QueueClaimResult& result);
    void reportJobsInTwoCells(const jobs::QueueAddress& queue, const jobs::QueueClaimResult& result);
    std::vector<jobs::QueueAddress> closableQueues();
    bool isListTooOld() const;

    /// Wraps `work` so that it does nothing once this object has been destroyed.
    ControlLoop::Work guarded(ControlLoop::Work work) const;

    Parts m_parts;
    PoolId m_pool;
    jobs::Cell m_cell;
    jobs::CellQueues m_queues;
    std::set<jobs::QueueAddress> m_claimsInProgress;
    std::map<jobs::QueueAddress, jobs::QueueClaimStatus> m_reportedClaims; ///< Latest result, to log changes only.
    TimePoint m_nextClaimAt {};
    TimePoint m_nextEarlierJobsReadAt {};
    const Duration m_longestListAge;
    const Duration m_leaseLength;
    const TimePoint m_takenOverAt;
    std::optional<TimePoint> m_reportedGrant; ///< Latest lease of earlier owners, as last reported.
    std::size_t m_workersWithoutRoom { 0 }; ///< As last reported.
    TimePoint m_earlierGrantsEndAt; ///< Owners of earlier terms grant no lease later.
    bool m_enforcesCapacity { false };
    TimePoint m_listRequestedAt {}; ///< When the worker list in use was requested from the store.
    std::shared_ptr<bool> m_isAlive;
    PartWriter m_writer;
    WorkerLinks m_links;
    QuotaClient m_quotas;
    PassScheduler m_passScheduler;
    UnconfirmedStarts m_unconfirmedStarts;
    bool m_isHandingBack { false };
};

} // namespace rattanrack::node
