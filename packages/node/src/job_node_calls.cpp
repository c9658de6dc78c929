#include "job_node_state.h"
#include "rattanrack/base/log.h"
#include "rattanrack/jobs/job_codec.h"

#include <future>

/// Calls of callers: each is sent to the owner of its cell, which is this node or another one, and the reply is
/// returned.
namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration claimTimeout = 1500ms; ///< A call waits at most this long until its cell has claimed the queue.

peer::JobReply elsewhere(const std::optional<PoolId>& cell)
{
    if (!cell)
        return { 0, peer::JobCallStatus::NotOwner };
    return { 0, peer::JobCallStatus::Elsewhere, jobs::JobState::Queued, 0, {}, { *cell } };
}

peer::JobCallStatus statusOfUnknownJob(const CellHost& host)
{
    return host.isJobListComplete() ? peer::JobCallStatus::NotFound : peer::JobCallStatus::NotOwner;
}

} // namespace

void JobNode::State::received(const peer::JobCall& call)
{
    const auto reply = [this, exchange = call.exchange, address = call.replyTo](peer::JobReply answer) {
        answer.exchange = exchange;
        network->send(address, answer);
    };
    const auto found = cells.find(call.cell);
    if (found == cells.end())
        reply({ 0, peer::JobCallStatus::NotOwner });
    else
        handleCall(*found->second, call, reply);
}

/// Sends the call to the cell of the route in force, and once more if that cell names another one.
void JobNode::State::route(peer::JobCall call, Deadline deadline, JobReplyCallback reply)
{
    send(call, deadline, [this, call, deadline, reply = std::move(reply)](const peer::JobReply& answer) mutable {
        if (call.operation == peer::JobOperation::Pending)
            return addPendingOfOtherCells(std::move(call), answer, deadline, reply);
        if (answer.status != peer::JobCallStatus::Elsewhere || answer.cells.empty())
            return reply(answer);
        call.cell = answer.cells.front();
        call.configurationVersion = 0; // It has not chosen this cell.
        send(std::move(call), deadline, std::move(reply));
    });
}

/// Adds the jobs of the cells that `total` names, one after the other.
void JobNode::State::addPendingOfOtherCells(
    peer::JobCall call, peer::JobReply total, Deadline deadline, const JobReplyCallback& reply)
{
    if (total.status != peer::JobCallStatus::Done || total.cells.empty())
        return reply(total);
    call.cell = total.cells.back();
    total.cells.pop_back();
    send(call, deadline, [this, call, total, deadline, reply](const peer::JobReply& answer) mutable {
        if (answer.status == peer::JobCallStatus::Done)
            total.pending += answer.pending;
        addPendingOfOtherCells(std::move(call), std::move(total), deadline, reply);
    });
}

void JobNode::State::send(peer::JobCall call, Deadline deadline, JobReplyCallback reply)
{
    // Of the highest term, since the term of this node may be over.
    const auto owner = ownership.owner(call.cell, clock.now());
    const auto found = cells.find(call.cell);
    if (owner && owner->node == self && found != cells.end())
        return handleCall(*found->second, call, std::move(reply));
    if (!owner || owner->node == self)
        return reply({ 0, peer::JobCallStatus::NotOwner });
    call.exchange = jobCalls.add(deadline, std::move(reply));
    call.replyTo = settings.peerAddress;
    network->send(owner->address, std::move(call));
}

void JobNode::State::handleCall(CellHost& host, const peer::JobCall& call, JobReplyCallback reply)
{
    if (host.isOfOtherCustomer(call.job, call.customer, call.queueAddress))
        return reply({ 0, peer::JobCallStatus::OfOtherCustomer });
    if (call.operation != peer::JobOperation::Pending && handleQueueElsewhere(host, call, reply))
        return;
    switch (call.operation) {
    case peer::JobOperation::Submit:
        return handleSubmit(host, call, std::move(reply));
    case peer::JobOperation::Cancel:
        return handleCancel(host, call, std::move(reply));
    case peer::JobOperation::State: {
        const auto state = host.state(call.job);
        return reply({ 0, state ? peer::JobCallStatus::Done : statusOfUnknownJob(host),
            state.value_or(jobs::JobState::Queued) });
    }
    case peer::JobOperation::Pending:
        return reply({ 0, peer::JobCallStatus::Done, jobs::JobState::Queued, host.unstartedJobs(call.queue), {},
            host.queues().otherCells(call.queueAddress) });
    }
}

/// Replies to a call about a job that the cell neither has nor may accept now, or defers it. Returns false if the cell
/// decides about the call.
bool JobNode::State::handleQueueElsewhere(CellHost& host, const peer::JobCall& call, const JobReplyCallback& reply)
{
    if (host.state(call.job))
        return false;
    const jobs::CellQueues& queues = host.queues();
    if (const auto cell = queues.cellOfEarlierJob(call.queueAddress, call.job)) {
        const bool isRepeated = call.operation == peer::JobOperation::Submit;
        if (isRepeated)
            reportSubmission(host, call);
        // The cell that has the job knows its customer.
        const bool isKnownToBeOwn = isRepeated && call.customer.isEmpty();
        reply(isKnownToBeOwn ? peer::JobReply { 0, peer::JobCallStatus::Done } : elsewhere(cell));
        return true;
    }
    switch (queues.access(call.queueAddress, call.configurationVersion)) {
    case jobs::QueueAccess::Open:
        return false;
    case jobs::QueueAccess::Claimable:
        defer(host, call, reply);
        return true;
    case jobs::QueueAccess::Elsewhere:
        break;
    }
    reply(elsewhere(queues.acceptingCell(call.queueAddress)));
    return true;
}

void JobNode::State::defer(CellHost& host, const peer::JobCall& call, JobReplyCallback reply)
{
    if (!host.mayClaimQueues())
        return reply({ 0, peer::JobCallStatus::NotOwner });
    deferredCalls.push_back({ call, Deadline::after(clock.now(), claimTimeout), std::move(reply) });
    host.claimQueue(call.queueAddress, call.configurationVersion);
}

/// Handles the calls that have waited for the claim. If another cell still has the queue, they wait on.
void JobNode::State::handleDeferredCalls(const PoolId& cell, const jobs::QueueAddress& queue)
{
    const auto host = cells.find(cell);
    if (host == cells.end())
        return;
    const jobs::CellQueues& queues = host->second->queues();
    std::vector<DeferredCall> ready;
    std::erase_if(deferredCalls, [&](DeferredCall& deferred) {
        const peer::JobCall& call = deferred.call;
        const bool isReady = call.cell == cell && call.queueAddress == queue
            && queues.access(queue, call.configurationVersion) != jobs::QueueAccess::Claimable;
        if (isReady)
            ready.push_back(std::move(deferred));
        return isReady;
    });
    for (DeferredCall& deferred : ready)
        handleCall(*host->second, deferred.call, std::move(deferred.reply));
}

void JobNode::State::expireDeferredCalls(TimePoint now)
{
    std::vector<JobReplyCallback> replies;
    std::erase_if(deferredCalls, [&](DeferredCall& deferred) {
        const bool isExpired = deferred.deadline.hasPassed(now) || !cells.contains(deferred.call.cell);
        if (isExpired)
            replies.push_back(std::move(deferred.reply));
        return isExpired;
    });
    for (const JobReplyCallback& reply : replies)
        reply({ 0, peer::JobCallStatus::NotOwner });
    retryDeferredCalls();
}

/// Claims the queues again, and handles calls whose queue the cell has or may no longer claim.
void JobNode::State::retryDeferredCalls()
{
    std::set<std::pair<PoolId, jobs::QueueAddress>> queues;
    for (const DeferredCall& deferred : deferredCalls) {
        cells.at(deferred.call.cell)->claimQueue(deferred.call.queueAddress, deferred.call.configurationVersion);
        queues.emplace(deferred.call.cell, deferred.call.queueAddress);
    }
    for (const auto& [cell, queue] : queues)
        handleDeferredCalls(cell, queue);
}

/// Logs which cell a submission was sent to by which version of the configuration, so that two cells with one job show.
void JobNode::State::reportSubmission(const CellHost& host, const peer::JobCall& call)
{
    const bool isKnown = host.state(call.job).has_value();
    metrics.increment("rattanrack_submissions_total", { { "job", isKnown ? "known" : "new" } });
    if (!submissionLines.admits(clock.now()))
        return;
    const std::size_t suppressedCount = submissionLines.takeSuppressedCount();
    if (suppressedCount > 0)
        logEvent("log.left_out", { { "kind", "job.submitted" }, { "count", suppressedCount } }, LogLevel::Warning);
    logEvent("job.submitted",
        { { "cell", call.cell.value() }, { "term", host.term() }, { "job", call.job.value() },
            { "queue", call.queue.value() }, { "known", isKnown }, { "sentByVersion", call.configurationVersion },
            { "version", configuration ? configuration->version : 0 } });
}

void JobNode::State::handleSubmit(CellHost& host, const peer::JobCall& call, JobReplyCallback reply)
{
    const auto job = valueOrNothing([&] { return jobs::decodeJob(call.body); });
    if (!job)
        return reply({ 0, peer::JobCallStatus::Refused });
    reportSubmission(host, call);
    const jobs::CallerToken token = ++lastToken;
    switch (host.submit(*job, token)) {
    case jobs::Acceptance::Stored:
        return reply({ 0, peer::JobCallStatus::Done });
    case jobs::Acceptance::Refused:
        return reply({ 0, peer::JobCallStatus::Refused });
    case jobs::Acceptance::Pending:
        waitingCalls.emplace(token, WaitingCall { call.cell, std::move(reply) });
    }
}

void JobNode::State::handleCancel(CellHost& host, const peer::JobCall& call, JobReplyCallback reply)
{
    const jobs::CallerToken token = ++lastToken;
    const auto acceptance = host.cancel(call.job, token);
    if (!acceptance)
        return reply({ 0, statusOfUnknownJob(host) });
    if (*acceptance == jobs::Acceptance::Refused)
        return reply({ 0, peer::JobCallStatus::NotOwner });
    if (*acceptance == jobs::Acceptance::Stored)
        return reply({ 0, peer::JobCallStatus::Done });
    waitingCalls.emplace(token, WaitingCall { call.cell, std::move(reply) });
}

void JobNode::State::failWaitingCalls(const PoolId& cell)
{
    std::vector<JobReplyCallback> replies;
    std::erase_if(waitingCalls, [&](auto& each) {
        const bool isOfCell = each.second.cell == cell;
        if (isOfCell)
            replies.push_back(std::move(each.second.reply));
        return isOfCell;
    });
    for (const JobReplyCallback& reply : replies)
        reply({ 0, peer::JobCallStatus::OutcomeUnknown });
}

void JobNode::State::onCallerReply(const jobs::CallerReply& reply)
{
    auto found = waitingCalls.extract(reply.token);
    if (found.empty())
        return;
    const auto status = reply.isStored ? peer::JobCallStatus::Done : peer::JobCallStatus::Refused;
    found.mapped().reply({ 0, status, jobs::JobState::Queued, 0, reply.retryAfter });
}

void JobNode::reportRejectedKey(const jobs::QueueId& queue, bool hasKey)
{
    m_state->metrics.increment("rattanrack_calls_rejected_total", { { "reason", hasKey ? "unknown key" : "no key" } });
    m_state->control.post([state = m_state.get(), queue, hasKey] {
        if (!state->rejectedKeyLines.admits(state->clock.now()))
            return;
        const std::size_t suppressedCount = state->rejectedKeyLines.takeSuppressedCount();
        if (suppressedCount > 0)
            logEvent("log.left_out", { { "kind", "call.rejected" }, { "count", suppressedCount } }, LogLevel::Warning);
        logEvent("call.rejected",
            { { "queue", queue.value() }, { "reason", hasKey ? "unknown key" : "no key" },
                { "version", state->configuration ? state->configuration->version : 0 } });
    });
}

peer::JobReply JobNode::call(peer::JobCall call, Deadline deadline)
{
    auto promise = std::make_shared<std::promise<peer::JobReply>>();
    auto reply = promise->get_future();
    m_state->control.post([state = m_state.get(), call = std::move(call), deadline, promise] {
        state->route(call, deadline, [promise](const peer::JobReply& answer) { promise->set_value(answer); });
    });
    const auto left = deadline.remaining(m_state->clock.now());
    if (reply.wait_for(left) != std::future_status::ready)
        return { 0, peer::JobCallStatus::OutcomeUnknown };
    return reply.get();
}

} // namespace rattanrack::node
