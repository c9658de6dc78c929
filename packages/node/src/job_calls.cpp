#include "rattanrack/node/job_calls.h"

namespace rattanrack::node {

void JobCalls::forward(peer::JobCall call, const std::string& address, Deadline deadline, OnReply onReply)
{
    call.exchange = ++m_lastExchange;
    call.replyTo = m_selfAddress;
    m_waiting.emplace(call.exchange, Waiting { deadline, std::move(onReply) });
    m_send(address, std::move(call));
}

void JobCalls::replied(const peer::JobReply& reply)
{
    auto waiting = m_waiting.extract(reply.exchange);
    if (!waiting.empty())
        waiting.mapped().onReply(reply);
}

void JobCalls::expire(TimePoint now)
{
    std::erase_if(m_waiting, [&](const auto& each) { return each.second.deadline.hasPassed(now); });
}

} // namespace rattanrack::node
