#include "rattanrack/node/traffic_service.h"

#include "rattanrack/base/invariant.h"
#include "rattanrack/base/log.h"
#include "rattanrack/node/attempt_runner.h"

#include <algorithm>
#include <thread>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;
using platform::TaskOutcome;
using platform::TaskStatus;

constexpr std::size_t maxFinishedRequests = 20'000;
constexpr std::uint64_t maxFinishedBytes = 64U << 20U;
constexpr Duration answerRetention = 10min;
constexpr Duration minimumLease = 60s;
constexpr int leasePerDeclaredRunTime = 10; ///< Declared run times are often far too short.
// How long a worker is queried after a lost response. A repeatable request is sooner sent to another worker.
constexpr Duration repeatableResolveTimeout = 500ms;
constexpr Duration nonRepeatableResolveTimeout = 5s;
constexpr Duration overloadRetryAfter = 2s;
constexpr std::size_t maxLiveRequests = 20'000;

policy::AttemptEnd endOf(TaskStatus status)
{
    if (platform::neverStarted(status))
        return policy::AttemptEnd::Refused;
    switch (status) {
    case TaskStatus::Completed:
        return policy::AttemptEnd::Completed;
    case TaskStatus::Failed:
        return policy::AttemptEnd::Failed;
    case TaskStatus::Stopped:
        return policy::AttemptEnd::Stopped;
    default:
        return policy::AttemptEnd::Lost;
    }
}

Answer answerOf(const TaskOutcome& outcome)
{
    switch (outcome.status) {
    case TaskStatus::Completed:
        return doneAnswer(outcome.output);
    case TaskStatus::Failed:
        return failedAnswer("work_failed", outcome.output);
    case TaskStatus::Stopped:
        return failedAnswer("stopped", outcome.output);
    default:
        return unknownAnswer("answer_lost");
    }
}

void sleepFor(Duration duration) { std::this_thread::sleep_for(duration); }

} // namespace

TrafficService::TrafficService(Parts parts)
    : m_parts(std::move(parts))
    , m_history(maxFinishedRequests, maxFinishedBytes)
    , m_claims({ m_parts.control, m_parts.clock, m_parts.claims, m_parts.traffic, m_parts.workers, m_parts.self,
          [this](const std::shared_ptr<PendingRequest>& pending) { submitToPolicy(pending->request()); },
          [this](const RequestId& id, Answer answer) { finish(id, std::move(answer)); } })
{
}

std::shared_ptr<PendingRequest> TrafficService::submit(CallerRequest request)
{
    const std::uint64_t number = m_nextRequest.fetch_add(1);
    request.spec.id = RequestId { m_parts.self.value() + '.' + std::to_string(number) };
    auto pending = std::make_shared<PendingRequest>(std::move(request));
    auto known = m_history.addOrFind(pending);
    if (known != pending)
        return known;
    m_liveCount.fetch_add(1);
    m_parts.control.post([this, pending] { admit(pending); });
    return pending;
}

std::optional<Answer> TrafficService::runAttempts(const std::shared_ptr<PendingRequest>& request, Deadline deadline)
{
    if (!request->bindDriver())
        return request->awaitAnswer(deadline, m_parts.clock);
    std::optional<Answer> answer;
    while (!answer) {
        PendingRequest::Step step = request->nextStep(deadline, m_parts.clock);
        if (auto* order = std::get_if<AttemptOrder>(&step))
            executeAttempt(request, *order);
        else if (auto* final = std::get_if<Answer>(&step))
            answer = std::move(*final);
        else
            break;
    }
    if (auto order = request->unbindDriver())
        runOnPool(request, std::move(*order));
    return answer;
}

void TrafficService::cancel(const RequestId& id)
{
    m_parts.control.post([this, id] {
        if (m_claims.isWaiting(id))
            finish(id, refusalBeforeClaim(false, policy::NotRunReason::Cancelled, Duration::zero()));
        else if (m_live.contains(id))
            handle(policy::Cancel { id });
    });
}

void TrafficService::admit(const std::shared_ptr<PendingRequest>& pending)
{
    const CallerRequest& request = pending->request();
    m_live.emplace(request.spec.id,
        Live { .pending = pending, .attemptAnswer = unknownAnswer("no_attempt"), .arrived = m_parts.clock.now() });
    if (m_live.size() > maxLiveRequests) {
        finish(request.spec.id,
            refusalBeforeClaim(request.spec.isRepeatable, policy::NotRunReason::QueueFull, overloadRetryAfter));
        return;
    }
    if (!m_poolOfKind.contains(request.spec.kind)) {
        finish(request.spec.id,
            refusalBeforeClaim(request.spec.isRepeatable, policy::NotRunReason::UnknownKind, Duration::zero()));
        return;
    }
    if (request.spec.isRepeatable)
        submitToPolicy(request);
    else
        m_claims.begin(pending);
}

void TrafficService::submitToPolicy(const CallerRequest& request)
{
    policy::RequestSpec spec = request.spec;
    const auto pool = m_poolOfKind.find(spec.kind);
    if (pool != m_poolOfKind.end())
        spec.pool = pool->second;
    handle(policy::Submit { std::move(spec) });
}

std::map<PoolId, TrafficService::PoolLoad> TrafficService::poolLoads() const
{
    std::map<PoolId, PoolLoad> loads;
    for (const auto& [id, live] : m_live) {
        const auto pool = m_poolOfKind.find(live.pending->request().spec.kind);
        if (pool == m_poolOfKind.end())
            continue;
        PoolLoad& load = loads[pool->second];
        ++(live.isRunning ? load.running : load.queued);
    }
    return loads;
}

void TrafficService::handle(const policy::TrafficEvent& event)
{
    if (const auto* peers = std::get_if<policy::PeersChanged>(&event))
        m_claims.setLiveNodes(peers->live);
    if (const auto* view = std::get_if<policy::ViewChanged>(&event)) {
        m_poolOfKind.clear();
        for (const policy::KindPolicy& kind : view->kinds)
            m_poolOfKind.emplace(kind.kind, kind.pool);
    }
    const policy::TrafficDecisions decisions = m_parts.policy->handle(event, m_parts.clock.now());
    for (const policy::TrafficDecision& decision : decisions)
        std::visit([this](const auto& each) { applyDecision(each); }, decision);
    scheduleTick();
}

void TrafficService::scheduleTick()
{
    const Deadline wake = m_parts.policy->nextWake();
    if (wake >= m_scheduledTick)
        return;
    m_scheduledTick = wake;
    m_parts.control.at(wake, [this, wake] {
        // An earlier tick has replaced this one.
        if (m_scheduledTick != wake)
            return;
        m_scheduledTick = Deadline::never();
        m_history.removeExpired(m_parts.clock.now());
        handle(policy::Tick {});
    });
}

void TrafficService::applyDecision(const policy::Dispatch& dispatch)
{
    const auto found = m_live.find(dispatch.request);
    if (!checkInvariant(found != m_live.end(), "traffic.dispatch_of_live_request", dispatch.request.value()))
        return;
    Live& live = found->second;
    live.isRunning = true;
    live.attempt = attemptIdOf(live.pending->request(), dispatch.attemptNumber);
    AttemptOrder order { dispatch, live.attempt, m_parts.workers.find(dispatch.worker) };
    if (!live.pending->offer(order))
        runOnPool(live.pending, std::move(order));
}

void TrafficService::applyDecision(const policy::RejectRequest& reject)
{
    finish(reject.request, notRunAnswer(reject.reason, reject.retryAfter));
}

void TrafficService::applyDecision(const policy::ConcludeRequest& conclude)
{
    const auto found = m_live.find(conclude.request);
    if (found != m_live.end())
        finish(conclude.request, std::move(found->second.attemptAnswer));
}

void TrafficService::applyDecision(const policy::StopAttempt& stop)
{
    sendStopCommand(stop.request, stop.worker, platform::StopMode::Stop);
}

void TrafficService::applyDecision(const policy::RestrainAttempt& restrain)
{
    const bool isThrottle = restrain.restraint == policy::Restraint::Throttle;
    sendStopCommand(
        restrain.request, restrain.worker, isThrottle ? platform::StopMode::Throttle : platform::StopMode::Checkpoint);
}

void TrafficService::sendStopCommand(const RequestId& request, const VmId& id, platform::StopMode mode)
{
    const auto found = m_live.find(request);
    const auto worker = m_parts.workers.find(id);
    if (found == m_live.end() || !worker)
        return;
    const bool isAccepted = m_parts.traffic.submit([worker, attempt = found->second.attempt, id, mode] {
        rattanrack::handle(
            [&]() -> Result<void> {
                return mode == platform::StopMode::Stop ? endAttempt(*worker, attempt) : worker->stop(attempt, mode);
            },
            [&](const Error& error) {
                logEvent("attempt.stop_failed",
                    { { "attempt", attempt.value() }, { "worker", id.value() }, { "error", describe(error) } });
            });
    });
    if (!isAccepted)
        logEvent("attempt.stop_dropped", { { "request", request.value() } }, LogLevel::Warning);
}

void TrafficService::applyDecision(const policy::SendAsk& ask) { m_parts.sendAsk(ask); }

void TrafficService::applyDecision(const policy::SendGrant& grant) { m_parts.sendGrant(grant); }

void TrafficService::finish(const RequestId& id, Answer answer)
{
    const auto found = m_live.find(id);
    if (!checkInvariant(found != m_live.end(), "traffic.one_answer_for_each_request", id.value()))
        return;
    const Live live = std::move(found->second);
    m_live.erase(found);
    const CallerRequest& request = live.pending->request();
    m_parts.metrics.increment("rattanrack_answers_total",
        { { "kind", request.spec.kind.value() }, { "answer", std::string(name(answer.kind)) } });
    logEvent("request.answered",
        { { "request", id.value() }, { "answer", name(answer.kind) }, { "reason", answer.reason } }, LogLevel::Debug);
    m_parts.onAnswered(request.spec, answer, m_parts.clock.now() - live.arrived);
    m_claims.end(request, answer);
    // The key of a request that did not run, or may not have run, can be used for another submission.
    if (answer.kind == AnswerKind::NotRun || answer.kind == AnswerKind::OutcomeUnknown)
        m_history.releaseKey(request.key, id);
    live.pending->conclude(std::move(answer));
    m_history.finish(live.pending, Deadline::after(m_parts.clock.now(), answerRetention));
    m_liveCount.fetch_sub(1);
}

void TrafficService::runOnPool(const std::shared_ptr<PendingRequest>& pending, AttemptOrder order)
{
    const RequestId id = order.dispatch.request;
    const VmId worker = order.dispatch.worker;
    const bool isAccepted
        = m_parts.traffic.submit([this, pending, order = std::move(order)] { executeAttempt(pending, order); });
    if (!isAccepted)
        m_parts.control.post([this, id, worker] {
            onAttemptEnded(id, worker, TaskOutcome { TaskStatus::NotSent, {}, "no traffic thread" });
        });
}

void TrafficService::executeAttempt(const std::shared_ptr<PendingRequest>& pending, const AttemptOrder& order)
{
    const CallerRequest& request = pending->request();
    TaskOutcome outcome { TaskStatus::NotSent, {}, "worker left the directory" };
    if (order.worker) {
        const TimePoint now = m_parts.clock.now();
        const Duration leaseTime = std::max(minimumLease, request.spec.declaredRunTime * leasePerDeclaredRunTime);
        const platform::TaskOrder task {
            .request = request.spec.id,
            .attempt = order.attempt,
            .pool = request.spec.pool,
            .poolEpoch = order.dispatch.poolEpoch,
            .kind = request.spec.kind,
            .size = request.spec.declaredSize,
            .declaredRunTime = request.spec.declaredRunTime,
            .payload = request.payload,
            .lease = Deadline::after(now, leaseTime),
        };
        const Duration resolveTimeout
            = request.spec.isRepeatable ? repeatableResolveTimeout : nonRepeatableResolveTimeout;
        outcome = runAttempt(*order.worker, task, resolveTimeout, m_parts.clock, sleepFor);
    }
    // The answer to a completed attempt does not depend on the control thread, so the caller need not wait for that.
    if (outcome.status == TaskStatus::Completed)
        pending->conclude(doneAnswer(outcome.output));
    m_parts.control.post([this, id = request.spec.id, worker = order.dispatch.worker, outcome = std::move(outcome)] {
        onAttemptEnded(id, worker, outcome);
    });
}

void TrafficService::onAttemptEnded(const RequestId& id, const VmId& worker, const TaskOutcome& outcome)
{
    const policy::AttemptEnd end = endOf(outcome.status);
    const auto found = m_live.find(id);
    if (found != m_live.end()) {
        found->second.attemptAnswer = answerOf(outcome);
        found->second.isRunning = false;
    }
    if (end != policy::AttemptEnd::Completed)
        logEvent("attempt.ended",
            { { "request", id.value() }, { "worker", worker.value() }, { "status", static_cast<int>(outcome.status) },
                { "detail", outcome.detail } });
    handle(policy::AttemptEnded { id, worker, end });
}

} // namespace rattanrack::node
