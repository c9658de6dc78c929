#include "job_node_state.h"
#include "rattanrack/base/log.h"
#include "rattanrack/jobs/job_codec.h"

#include <future>

/// Calls of callers: each is sent to the owner of its cell, which is this node or another one, and the reply is
/// returned.
namespace rattanrack::node {

namespace {

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

void JobNode::State::route(peer::JobCall call, Deadline deadline, JobReplyCallback reply)
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
        return reply({ 0, peer::JobCallStatus::Done, jobs::JobState::Queued, host.unstartedJobs(call.queue) });
    }
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
