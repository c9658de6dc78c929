#pragma once

#include "rattanrack/jobs/announcement_pacer.h"
#include "rattanrack/jobs/drain_announcements.h"
#include "rattanrack/jobs/node_table.h"
#include "rattanrack/jobs/takeover_watch.h"
#include "rattanrack/node/cell_host.h"
#include "rattanrack/node/job_node.h"
#include "rattanrack/node/log_rate_limiter.h"
#include "rattanrack/node/machine_controller.h"
#include "rattanrack/node/pending_calls.h"
#include "rattanrack/node/stall_detector.h"
#include "rattanrack/peer/peer_network.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// The state of a job node, shared by its source files. Members without a lock are for the control thread only.
namespace rattanrack::node {

using JobReplyCallback = std::function<void(const peer::JobReply&)>;

/// A caller's request that waits for a commit.
struct WaitingCall {
    PoolId cell;
    JobReplyCallback reply;
};

/// By which way a node has received a configuration.
enum class ConfigurationWay : std::uint8_t {
    Read, ///< Read at the start or after a failure of the feed.
    Feed, ///< Read because the store's feed has reported a change.
};

/// A call to the store that a peer carries out.
struct RelayedCall {
    std::string address; ///< Of the peer.
    bool isRead { false };
};

/// A call that waits until its cell has claimed the queue.
struct DeferredCall {
    peer::JobCall call;
    Deadline deadline;
    JobReplyCallback reply;
};

constexpr std::size_t storeThreads = 12;
/// Two for each worker of all cells, since this node may be the last one and own all of them.
constexpr std::size_t workerThreads = 1500;
constexpr std::size_t machineThreads = 12; ///< Concurrent calls to machines.
constexpr std::size_t maxQueuedStoreCalls = 256;

struct JobNode::State {
    State(JobNodeSettings nodeSettings, JobNodePorts nodePorts, Metrics& nodeMetrics);
    ~State();

    // Lifecycle and announcements: job_node.cpp
    void start();
    void tick();
    void sendAnnouncement();
    void sendAnnouncementIfDue(TimePoint now);
    void send(jobs::NodeAnnouncement announcement, const std::vector<std::string>& addresses, TimePoint now);
    void reportLoad();
    void exchangeMachineStatus();
    std::set<jobs::MachineId> drainingMachines();
    void addOwnCells(jobs::NodeAnnouncement& announcement) const;
    void receive(const peer::Message& message);
    void received(const jobs::NodeAnnouncement& announcement);
    void passOn(const jobs::NodeAnnouncement& announcement);
    void received(const peer::JobCall& call);
    void received(const peer::JobReply& reply) { jobCalls.handleReply(reply); }
    void received(const peer::StoreCall& call);
    void received(const peer::StoreReply& reply);
    template <typename Other> void received(const Other&) { }

    // What this node owns: job_node_cells.cpp
    void takeOverCells();
    void watchOwnerRows(TimePoint now);
    void readOwnerRow(const PoolId& cell, TimePoint now);
    void announcePart(const PoolId& cell, const PartTakeover& takeover);
    void startCellTakeover(const PoolId& cell, const jobs::TakeoverCondition& condition);
    void onCellTakenOver(const PoolId& cell, CellTakeover takeover);
    void onCellLost(const PoolId& cell);
    void reportTakeover(const char* event, const PoolId& cell, const PartTakeover& takeover, std::size_t jobs);
    void startMachineTakeover(const jobs::TakeoverCondition& condition);
    void onMachinesTakenOver(MachineTakeover takeover);
    void onMachinesLost();
    bool owns(const PoolId& cell) const { return cells.contains(cell) || (machineController && cell == machinePart); }
    void handBack(const PoolId& cell);

    // Requests of callers: job_node_calls.cpp
    void route(peer::JobCall call, Deadline deadline, JobReplyCallback reply);
    void send(peer::JobCall call, Deadline deadline, JobReplyCallback reply);
    void addPendingOfOtherCells(
        peer::JobCall call, peer::JobReply total, Deadline deadline, const JobReplyCallback& reply);
    void handleCall(CellHost& host, const peer::JobCall& call, JobReplyCallback reply);
    bool handleQueueElsewhere(CellHost& host, const peer::JobCall& call, const JobReplyCallback& reply);
    void defer(CellHost& host, const peer::JobCall& call, JobReplyCallback reply);
    void handleDeferredCalls(const PoolId& cell, const jobs::QueueAddress& queue);
    void expireDeferredCalls(TimePoint now);
    void retryDeferredCalls();
    void handleSubmit(CellHost& host, const peer::JobCall& call, JobReplyCallback reply);
    void reportSubmission(const CellHost& host, const peer::JobCall& call);
    void handleCancel(CellHost& host, const peer::JobCall& call, JobReplyCallback reply);
    void onCallerReply(const jobs::CallerReply& reply);
    void failWaitingCalls(const PoolId& cell);

    // Calls to the store through peers: job_node_store.cpp
    std::optional<peer::StoreResult> callPeer(const peer::StoreRequest& request);
    bool sendToPeer(
        const peer::StoreRequest& request, Deadline deadline, PendingCalls<peer::StoreReply>::OnReply onReply);
    void endCallsToUnusablePeers(TimePoint now);
    void endRelayedReads();
    void endRelayedCalls(const std::function<bool(const RelayedCall&)>& isOver);

    // Watchers of the store: job_node_watchers.cpp
    void watchConfiguration();
    ConfigurationWay waitForDirectives(jobs::RowVersion version);
    bool readDirectives(ConfigurationWay way);
    void applyDirectives(const jobs::FleetDirectives& directives, ConfigurationWay way, Duration silence);
    void reportConfiguration(const jobs::Configuration& configuration, ConfigurationWay way, Duration silence);
    void watchWorkers();
    std::optional<WorkerList> readWorkers();
    void setWorkers(WorkerList list);
    void watchMembers();
    void removeGoneNodes(const jobs::NodeTable& table);
    void applyConfiguration(jobs::Configuration configuration);
    void readAssignmentsIfDue();
    void setAssignments(const jobs::QueueAssignments& assignments);
    void setCellsInUse();
    void configure(CellHost& host) const;
    void registerSelf();

    template <typename Work, typename Then>
    void runTakeover(const PoolId& part, const char* failureEvent, Work work, Then then);
    template <typename Work> void loopUntilStopped(Duration period, Work work);

    const JobNodeSettings settings;
    JobNodePorts ports;
    Metrics& metrics;
    SystemClock clock;
    CellLog cellLog { clock };
    NodeLoadMonitor loadMonitor { metrics };
    NodeId self;
    jobs::Ownership ownership;
    StallDetector stallDetector;
    PendingCalls<peer::JobReply> jobCalls;
    PendingCalls<peer::StoreReply> storeCalls;
    std::map<std::uint64_t, RelayedCall> relayedCalls; ///< Of this node, by exchange.
    std::size_t lastPeerIndex { 0 };
    std::map<PoolId, std::unique_ptr<CellHost>> cells;
    std::unique_ptr<MachineController> machineController;
    jobs::DrainAnnouncements drainAnnouncements;
    std::uint64_t drainingMachinesSequence { 0 };
    std::set<jobs::MachineId> lastDrainingMachines; ///< As last announced by the owner of the machine part.
    TimePoint drainingReceivedAt {};
    std::string machineOwnerAddress; ///< As last announced; empty if unknown.
    jobs::AnnouncementPacer announcementPacer;
    std::size_t announcementsReceived { 0 }; ///< Since the last load report.
    std::uint64_t reportedRefusals { 0 }; ///< Of connections of peers.
    jobs::TakeoverWatch takeoverWatch;
    std::set<PoolId> ownerReadsInProgress;
    std::set<PoolId> takeoversInProgress;
    std::vector<jobs::MaintenanceWave> waves;
    std::set<PoolId> cellsInUse;
    jobs::RowVersion directivesVersion { 0 }; ///< The store's version when the directives in force were read.
    jobs::QueueAssignments assignments; ///< Cells in it have an owner, whether the configuration routes to them or not.
    std::shared_ptr<const jobs::QueueRoutes> queueRoutes { std::make_shared<jobs::QueueRoutes>() };
    WorkerList workers;
    std::map<jobs::CallerToken, WaitingCall> waitingCalls;
    std::vector<DeferredCall> deferredCalls;
    jobs::CallerToken lastToken { 0 };
    LogRateLimiter submissionLines;
    LogRateLimiter rejectedKeyLines;
    bool isLeaving { false };

    std::atomic<bool> isStopped { false };
    std::atomic<bool> mustReadAssignments { true };
    std::atomic<jobs::RowVersion> watchedVersion { 0 }; ///< From which the watcher waits for changes of directives.
    std::atomic<TimePoint> watcherRespondedAt { clock.now() }; ///< Latest response of the store to the watcher.
    Deadline nextAssignmentsRead {}; ///< Of the thread that watches the members.
    Deadline nextRegistration {}; ///< Of the same thread.
    std::atomic<bool> isReady { false };
    std::atomic<bool> hasConfiguredCells { false };
    std::atomic<bool> ownsAnyPart { false };
    std::atomic<bool> ownsMachinePart { false };
    mutable std::mutex configurationMutex;
    std::shared_ptr<const jobs::Configuration> configuration;

    ElasticThreadPool storePool { storeThreads, maxQueuedStoreCalls };
    ElasticThreadPool machinePool { machineThreads, maxQueuedStoreCalls };
    ElasticThreadPool workerPool { workerThreads, workerThreads };
    ElasticThreadPool advisorPool { 1, maxQueuedStoreCalls };
    std::unique_ptr<peer::PeerNetwork> network;
    std::vector<std::thread> watchers;
    ControlLoop control { clock };
};

} // namespace rattanrack::node
