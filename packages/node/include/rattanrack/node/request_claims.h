#pragma once

#include "rattanrack/node/claim_recorder.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/elastic_thread_pool.h"
#include "rattanrack/node/pending_request.h"
#include "rattanrack/node/worker_directory.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rattanrack::node {

/// Returns the id of attempt `attemptNumber`, counted from 1. All attempts of a non-repeatable request share one id, so
/// that no worker runs the request after another worker has run it.
AttemptId attemptIdOf(const CallerRequest& request, std::uint32_t attemptNumber);

/// Records each non-repeatable request as a claim before it is sent, and the outcome of the request afterwards. All
/// methods must be called on the control thread.
class RequestClaims {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ClaimRecorder& recorder;
        ElasticThreadPool& threads;
        const WorkerDirectory& workers;
        NodeId self;
        std::function<void(const std::shared_ptr<PendingRequest>&)> onGranted; ///< The request may be sent.
        /// The request has its final answer without having been sent.
        std::function<void(const RequestId&, Answer)> onAnswer;
    };

    explicit RequestClaims(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    /// Claims the request. Calls one of the callbacks, at the request's deadline at the latest.
    void begin(const std::shared_ptr<PendingRequest>& pending);

    /// Whether the request's claim has not been granted yet.
    bool isWaiting(const RequestId& id) const;

    /// Records the final answer of a request, or withdraws a claim that was not used. Does nothing for requests that
    /// were never claimed.
    void end(const CallerRequest& request, const Answer& answer);

    /// Sets the live nodes. A claim whose owner is not among them is resolved by querying the workers.
    void setLiveNodes(const std::vector<NodeId>& nodes) { m_liveNodes = { nodes.begin(), nodes.end() }; }

private:
    enum class Progress {
        Waiting, ///< No claim of this attempt is known to be recorded.
        Unconfirmed, ///< The claim may be recorded; the request was never sent.
        Granted, ///< The claim is recorded; the request may have been sent.
    };

    void submit(const std::shared_ptr<PendingRequest>& pending);
    void onClaimAnswer(const std::shared_ptr<PendingRequest>& pending, const policy::ClaimAnswer& answer);
    void onTaken(const std::shared_ptr<PendingRequest>& pending, const policy::Claim& claim);
    void onUnavailable(const std::shared_ptr<PendingRequest>& pending);
    void retryLater(const std::shared_ptr<PendingRequest>& pending, Answer answerAtDeadline);
    void resolveOrphan(const std::shared_ptr<PendingRequest>& pending, const policy::Claim& orphan);
    void record(const policy::Claim& claim, Deadline giveUpAt);
    policy::Claim claimOf(const CallerRequest& request) const;
    static std::optional<policy::ClaimState> finalState(Progress progress, const Answer& answer);

    Parts m_parts;
    std::unordered_map<RequestId, Progress> m_open;
    std::unordered_set<NodeId> m_liveNodes;
};

} // namespace rattanrack::node
