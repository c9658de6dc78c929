#pragma once

#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/traffic_service.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace rattanrack::node {

/// What another node says of a request that it accepted.
struct RemoteAnswer {
    bool isKnown { false }; ///< False: that node has gone, or says that it does not know the request.
    std::optional<Answer> answer; ///< Empty while the request is under way, or its node is silent.
};

/// Fetches and cancels requests that other nodes accepted, so that a caller may ask any node.
class RemoteAnswers {
public:
    using Send = std::function<void(const NodeId&, peer::Message)>;

    using IsMember = std::function<bool(const NodeId&)>; ///< False when a node is gone. Called on the control thread.

    RemoteAnswers(
        ControlLoop& control, const Clock& clock, TrafficService& traffic, NodeId self, Send send, IsMember isMember)
        : m_control(control)
        , m_clock(clock)
        , m_traffic(traffic)
        , m_self(std::move(self))
        , m_send(std::move(send))
        , m_isMember(std::move(isMember))
    {
    }

    /// Asks the node that accepted `id`, again until the answer is there or `deadline` passes. Blocks; not for the
    /// control thread.
    RemoteAnswer fetch(const RequestId& id, bool cancels, Deadline deadline);

    /// A peer asks for a request of this node. Control thread.
    void handleQuery(const peer::AnswerQuery& query);

    /// A peer's answer to an earlier question. Control thread.
    void handleReply(const peer::AnswerReply& reply);

private:
    using OnReply = std::function<void(const peer::AnswerReply&)>;

    std::optional<peer::AnswerReply> queryOnce(const RequestId& id, bool cancels);

    ControlLoop& m_control;
    const Clock& m_clock;
    TrafficService& m_traffic;
    const NodeId m_self;
    const Send m_send;
    const IsMember m_isMember;
    std::uint64_t m_nextExchange { 1 }; ///< Control thread only, like the next one.
    std::unordered_map<std::uint64_t, OnReply> m_waiting;
};

/// The node that accepted a request, read from its id.
NodeId acceptingNode(const RequestId& id);

} // namespace rattanrack::node
