#include "rattanrack/node/request_claims.h"

#include "rattanrack/base/log.h"
#include "rattanrack/node/orphaned_claim.h"

#include <algorithm>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration recordRetryPause = 1s;
constexpr Duration recordTimeout = 10min;
/// Before a claim is retried while its shard moves to another home node or another attempt runs.
constexpr Duration claimRetryPause = 500ms;
constexpr Duration storeRetryAfter = 2s;

Answer storeUnavailable() { return refusalBeforeClaim(false, policy::NotRunReason::StoreUnavailable, storeRetryAfter); }

} // namespace

AttemptId attemptIdOf(const CallerRequest& request, std::uint32_t attemptNumber)
{
    const std::uint32_t number = request.spec.isRepeatable ? attemptNumber : 1;
    return AttemptId { request.spec.id.value() + '-' + std::to_string(number) };
}

void RequestClaims::begin(const std::shared_ptr<PendingRequest>& pending)
{
    m_open.emplace(pending->request().spec.id, Progress::Waiting);
    submit(pending);
}

bool RequestClaims::isWaiting(const RequestId& id) const
{
    const auto found = m_open.find(id);
    return found != m_open.end() && found->second != Progress::Granted;
}

void RequestClaims::submit(const std::shared_ptr<PendingRequest>& pending)
{
    m_parts.recorder.submit(claimOf(pending->request()), [this, pending](const policy::ClaimAnswer& answer) {
        m_parts.control.post([this, pending, answer] { onClaimAnswer(pending, answer); });
    });
}

void RequestClaims::onClaimAnswer(const std::shared_ptr<PendingRequest>& pending, const policy::ClaimAnswer& answer)
{
    const RequestId& id = pending->request().spec.id;
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        // The request was cancelled meanwhile and is never sent, so its key must not stay claimed.
        policy::Claim unused = claimOf(pending->request());
        unused.state = policy::ClaimState::Withdrawn;
        if (answer.verdict != policy::ClaimVerdict::Taken)
            record(unused, Deadline::after(m_parts.clock.now(), recordTimeout));
        return;
    }
    switch (answer.verdict) {
    case policy::ClaimVerdict::Granted:
        found->second = Progress::Granted;
        m_parts.onGranted(pending);
        return;
    case policy::ClaimVerdict::Taken:
        onTaken(pending, answer.claim);
        return;
    case policy::ClaimVerdict::ContentDiffers:
        m_parts.onAnswer(id, failedAnswer(std::string(keyReusedReason), {}));
        return;
    case policy::ClaimVerdict::Unavailable:
        found->second = Progress::Unconfirmed;
        onUnavailable(pending);
        return;
    }
}

void RequestClaims::onTaken(const std::shared_ptr<PendingRequest>& pending, const policy::Claim& claim)
{
    const RequestId& id = pending->request().spec.id;
    if (claim.state == policy::ClaimState::Completed)
        m_parts.onAnswer(id, doneAnswer(claim.output));
    else if (claim.state == policy::ClaimState::Failed)
        m_parts.onAnswer(id, failedAnswer("work_failed", claim.output));
    else if (m_liveNodes.empty() || m_liveNodes.contains(claim.owner))
        retryLater(pending, unknownAnswer("claimed_by_other_attempt"));
    else
        resolveOrphan(pending, claim);
}

void RequestClaims::onUnavailable(const std::shared_ptr<PendingRequest>& pending)
{
    // The claim may have been recorded, but this node has not sent the request, so `end` withdraws the claim. An
    // earlier submission may have run.
    if (m_parts.recorder.isStoreUp())
        retryLater(pending, storeUnavailable());
    else
        m_parts.onAnswer(pending->request().spec.id, storeUnavailable());
}

void RequestClaims::retryLater(const std::shared_ptr<PendingRequest>& pending, Answer answerAtDeadline)
{
    const policy::RequestSpec& spec = pending->request().spec;
    const TimePoint now = m_parts.clock.now();
    if (!m_open.contains(spec.id))
        return;
    if (spec.deadline.hasPassed(now)) {
        m_parts.onAnswer(spec.id, std::move(answerAtDeadline));
        return;
    }
    const Duration pause = std::min(claimRetryPause, spec.deadline.remaining(now));
    m_parts.control.at(Deadline::after(now, pause), [this, pending] {
        if (m_open.contains(pending->request().spec.id))
            submit(pending);
    });
}

void RequestClaims::resolveOrphan(const std::shared_ptr<PendingRequest>& pending, const policy::Claim& orphan)
{
    const bool isAccepted = m_parts.threads.submit([this, pending, orphan] {
        const auto resolved = resolveOrphanedClaim(orphan, m_parts.workers);
        m_parts.control.post([this, pending, resolved] {
            if (resolved)
                record(*resolved, Deadline::after(m_parts.clock.now(), recordTimeout));
            retryLater(pending, unknownAnswer("owner_gone"));
        });
    });
    if (!isAccepted)
        retryLater(pending, unknownAnswer("owner_gone"));
}

void RequestClaims::end(const CallerRequest& request, const Answer& answer)
{
    const auto open = m_open.extract(request.spec.id);
    if (open.empty())
        return;
    const auto state = finalState(open.mapped(), answer);
    if (!state)
        return;
    policy::Claim claim = claimOf(request);
    claim.state = *state;
    claim.output = answer.output;
    record(claim, Deadline::after(m_parts.clock.now(), recordTimeout));
}

std::optional<policy::ClaimState> RequestClaims::finalState(Progress progress, const Answer& answer)
{
    if (progress == Progress::Waiting)
        return std::nullopt;
    if (progress == Progress::Unconfirmed)
        return policy::ClaimState::Withdrawn;
    switch (answer.kind) {
    case AnswerKind::Done:
        return policy::ClaimState::Completed;
    case AnswerKind::Failed:
        return policy::ClaimState::Failed;
    case AnswerKind::NotRun:
        return policy::ClaimState::Withdrawn;
    case AnswerKind::OutcomeUnknown:
        break;
    }
    return std::nullopt;
}

void RequestClaims::record(const policy::Claim& claim, Deadline giveUpAt)
{
    m_parts.recorder.submit(claim, [this, claim, giveUpAt](const policy::ClaimAnswer& reply) {
        if (reply.verdict != policy::ClaimVerdict::Unavailable)
            return;
        const TimePoint now = m_parts.clock.now();
        if (giveUpAt.hasPassed(now)) {
            logEvent("claim.end_not_recorded", { { "attempt", claim.attempt.value() } }, LogLevel::Error);
            return;
        }
        m_parts.control.at(
            Deadline::after(now, recordRetryPause), [this, claim, giveUpAt] { record(claim, giveUpAt); });
    });
}

policy::Claim RequestClaims::claimOf(const CallerRequest& request) const
{
    return {
        .key = request.key,
        .fingerprint = request.fingerprint,
        .attempt = attemptIdOf(request, 1),
        .owner = m_parts.self,
    };
}

} // namespace rattanrack::node
