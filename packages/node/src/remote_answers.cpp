#include "rattanrack/node/remote_answers.h"

#include <algorithm>
#include <future>
#include <thread>

namespace rattanrack::node {

namespace {

using namespace std::chrono_literals;

constexpr Duration replyTimeout = 1s;
constexpr Duration queryPause = 100ms;

peer::AnswerState stateOf(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Done:
        return peer::AnswerState::Done;
    case AnswerKind::Failed:
        return peer::AnswerState::Failed;
    case AnswerKind::NotRun:
        return peer::AnswerState::NotRun;
    case AnswerKind::OutcomeUnknown:
        break;
    }
    return peer::AnswerState::OutcomeUnknown;
}

std::optional<AnswerKind> kindOf(peer::AnswerState state)
{
    switch (state) {
    case peer::AnswerState::Done:
        return AnswerKind::Done;
    case peer::AnswerState::Failed:
        return AnswerKind::Failed;
    case peer::AnswerState::NotRun:
        return AnswerKind::NotRun;
    case peer::AnswerState::OutcomeUnknown:
        return AnswerKind::OutcomeUnknown;
    case peer::AnswerState::NotFound:
    case peer::AnswerState::Pending:
        break;
    }
    return std::nullopt;
}

} // namespace

NodeId acceptingNode(const RequestId& id) { return NodeId { id.value().substr(0, id.value().rfind('.')) }; }

RemoteAnswer RemoteAnswers::fetch(const RequestId& id, bool cancels, Deadline deadline)
{
    if (acceptingNode(id) == m_self)
        return {};
    while (true) {
        // A missing reply proves nothing: the node may be paused, and a caller that is answered with "unknown" would
        // submit the request again.
        const auto reply = queryOnce(id, cancels);
        if (reply && reply->state == peer::AnswerState::NotFound)
            return {};
        const auto kind = reply ? kindOf(reply->state) : std::nullopt;
        if (kind)
            return { true, Answer { *kind, reply->output, reply->reason, reply->retryAfter } };
        if (deadline.hasPassed(m_clock.now()))
            return { true, std::nullopt };
        std::this_thread::sleep_for(std::min(queryPause, deadline.remaining(m_clock.now())));
    }
}

std::optional<peer::AnswerReply> RemoteAnswers::queryOnce(const RequestId& id, bool cancels)
{
    auto promise = std::make_shared<std::promise<peer::AnswerReply>>();
    auto future = promise->get_future();
    auto exchange = std::make_shared<std::uint64_t>(0);
    m_control.post([this, id, cancels, promise, exchange] {
        if (!m_isMember(acceptingNode(id))) {
            promise->set_value({ .state = peer::AnswerState::NotFound });
            return;
        }
        *exchange = m_nextExchange++;
        m_pendingQueries[*exchange] = [promise](const peer::AnswerReply& reply) { promise->set_value(reply); };
        m_send(acceptingNode(id), peer::AnswerQuery { *exchange, m_self, id, cancels });
    });
    const bool hasReply = future.wait_for(replyTimeout) == std::future_status::ready;
    if (hasReply)
        return future.get();
    m_control.post([this, exchange] { m_pendingQueries.erase(*exchange); });
    return std::nullopt;
}

void RemoteAnswers::handleQuery(const peer::AnswerQuery& query)
{
    peer::AnswerReply reply { .exchange = query.exchange };
    if (const auto pending = m_traffic.find(query.request)) {
        if (query.cancels)
            m_traffic.cancel(query.request);
        reply.state = peer::AnswerState::Pending;
        if (const auto answer = pending->answer()) {
            reply.state = stateOf(answer->kind);
            reply.output = answer->output;
            reply.reason = answer->reason;
            reply.retryAfter = answer->retryAfter;
        }
    }
    m_send(query.from, std::move(reply));
}

void RemoteAnswers::handleReply(const peer::AnswerReply& reply)
{
    const auto pending = m_pendingQueries.extract(reply.exchange);
    if (!pending.empty())
        pending.mapped()(reply);
}

} // namespace rattanrack::node
