#pragma once

#include "rattanrack/base/metrics.h"
#include "rattanrack/node/claim_recorder.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/node/pending_request.h"
#include "rattanrack/node/request_claims.h"
#include "rattanrack/node/request_history.h"
#include "rattanrack/node/worker_directory.h"
#include "rattanrack/policy/traffic.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace rattanrack::node {

/// Sends requests of callers to workers. The traffic policy decides on the control thread; the calls to workers run on
/// the threads that serve the callers, or on the thread pool for callers that do not wait.
class TrafficService {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        Metrics& metrics;
        ElasticThreadPool& traffic;
        WorkerDirectory& workers;
        ClaimRecorder& claims;
        NodeId self;
        std::unique_ptr<policy::TrafficPolicy> policy;
        std::function<void(const policy::SendAsk&)> sendAsk;
        std::function<void(const policy::SendGrant&)> sendGrant;
        std::function<void(const policy::RequestSpec&, const Answer&, Duration latency)> onAnswered;
    };

    explicit TrafficService(Parts parts);

    // ---- On every thread ----

    /// Accepts a request and assigns its id. If the caller's key belongs to a request that this node has, returns that
    /// request; its fingerprint must be compared with that of `request`.
    std::shared_ptr<PendingRequest> submit(CallerRequest request);

    /// Runs the request's attempts on the calling thread until the request has its answer or `deadline` passes.
    std::optional<Answer> runAttempts(const std::shared_ptr<PendingRequest>& request, Deadline deadline);

    /// Cancels a request; the answer to the request shows whether the work had started.
    void cancel(const RequestId& id);

    std::shared_ptr<PendingRequest> find(const RequestId& id) const { return m_history.find(id); }

    /// Requests without an answer.
    std::size_t liveRequests() const { return m_liveCount.load(); }

    // ---- On the control thread ----

    /// Requests of one pool on this node.
    struct PoolLoad {
        std::size_t queued { 0 };
        std::size_t running { 0 };
    };
    std::map<PoolId, PoolLoad> poolLoads() const;

    /// Passes an event to the policy and applies its decisions.
    void handle(const policy::TrafficEvent& event);

private:
    struct Live {
        std::shared_ptr<PendingRequest> pending;
        AttemptId attempt;
        Answer attemptAnswer; ///< Result of the last attempt.
        bool isRunning { false };
        TimePoint arrived {};
    };

    void admit(const std::shared_ptr<PendingRequest>& pending);
    void submitToPolicy(const CallerRequest& request);
    void finish(const RequestId& id, Answer answer);
    void runOnPool(const std::shared_ptr<PendingRequest>& pending, AttemptOrder order);
    void executeAttempt(const std::shared_ptr<PendingRequest>& pending, const AttemptOrder& order);
    void onAttemptEnded(const RequestId& id, const VmId& worker, const platform::TaskOutcome& outcome);
    void sendStopCommand(const RequestId& request, const VmId& id, platform::StopMode mode);
    void scheduleTick();

    void applyDecision(const policy::Dispatch&);
    void applyDecision(const policy::RejectRequest&);
    void applyDecision(const policy::ConcludeRequest&);
    void applyDecision(const policy::StopAttempt&);
    void applyDecision(const policy::RestrainAttempt&);
    void applyDecision(const policy::SendAsk&);
    void applyDecision(const policy::SendGrant&);

    Parts m_parts;
    RequestHistory m_history;
    RequestClaims m_claims; ///< Control thread only.
    std::atomic<std::uint64_t> m_nextRequest { 1 };
    std::atomic<std::size_t> m_liveCount { 0 };
    std::unordered_map<RequestId, Live> m_live; ///< Control thread only.
    std::unordered_map<WorkKind, PoolId> m_poolOfKind; ///< Control thread only.
    Deadline m_scheduledTick { Deadline::never() };
};

} // namespace rattanrack::node
