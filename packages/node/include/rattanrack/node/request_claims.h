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

/// The attempt id of a request's try number `attemptNumber`, from 1. Tries of a request that is not repeatable share
/// one id, so that no worker runs it after another one has.
AttemptId attemptIdOf(const CallerRequest& request, std::uint32_t attemptNumber);

/// Sees to it that a request that is not repeatable is recorded before it is sent, and that its end is recorded after.
/// All methods belong to the control thread.
class RequestClaims {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        ClaimRecorder& recorder;
        ElasticThreadPool& threads;
        const WorkerDirectory& workers;
        NodeId self;
        std::function<void(const std::shared_ptr<PendingRequest>&)> onGranted; ///< It may be sent.
        std::function<void(const RequestId&, Answer)> onAnswer; ///< It has its answer without being sent.
    };

    explicit RequestClaims(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    /// Claims the request; ends with one of the callbacks, at its deadline at the latest.
    void begin(const std::shared_ptr<PendingRequest>& pending);

    /// Whether the request still waits for its claim.
    bool isWaiting(const RequestId& id) const;

    /// The request has its final answer: records it, or withdraws a claim that was not used. Harmless for requests that
    /// were never claimed.
    void end(const CallerRequest& request, const Answer& answer);

    /// Owners that are not among these have gone: their claims are settled by the workers' word.
    void setLiveNodes(const std::vector<NodeId>& nodes) { m_liveNodes = { nodes.begin(), nodes.end() }; }

private:
    enum class Progress {
        Waiting, ///< Nothing was recorded under this request's attempt, as far as known.
        Unconfirmed, ///< Perhaps recorded; never sent.
        Granted, ///< Recorded; may have been sent.
    };

    void submit(const std::shared_ptr<PendingRequest>& pending);
    void answered(const std::shared_ptr<PendingRequest>& pending, const policy::ClaimAnswer& answer);
    void taken(const std::shared_ptr<PendingRequest>& pending, const policy::Claim& claim);
    void unavailable(const std::shared_ptr<PendingRequest>& pending);
    void tryLater(const std::shared_ptr<PendingRequest>& pending, Answer answerAtDeadline);
    void settle(const std::shared_ptr<PendingRequest>& pending, const policy::Claim& orphan);
    void record(const policy::Claim& claim, Deadline giveUpAt);
    policy::Claim claimOf(const CallerRequest& request) const;
    static std::optional<policy::ClaimState> finalState(Progress progress, const Answer& answer);

    Parts m_parts;
    std::unordered_map<RequestId, Progress> m_open;
    std::unordered_set<NodeId> m_liveNodes;
};

} // namespace rattanrack::node
