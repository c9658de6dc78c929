#pragma once

#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/traffic_service.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <optional>
#include <unordered_map>

namespace rattanrack::node {

/// State of a request that another node accepted.
struct RemoteAnswer {
    /// False when that node has gone or has replied that it does not have the request.
    bool isKnown { false };
    std::optional<Answer> answer; ///< Empty while the request is pending or its node does not reply.
};

/// Fetches the answers of requests that other nodes accepted, and cancels such requests, so that a caller can use any
/// node.
class RemoteAnswers {
public:
    using Send = std::function<void(const NodeId&, peer::Message)>;

    /// Returns false for a node that is gone. Called on the control thread.
    using IsMember = std::function<bool(const NodeId&)>;

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

    /// Queries the node that accepted `id` until it returns the final answer or `deadline` passes. With `cancels`, also
    /// cancels the request. Blocks; must not be called on the control thread.
    RemoteAnswer fetch(const RequestId& id, bool cancels, Deadline deadline);

    /// Replies to a peer's query about a request of this node. Control thread only.
    void handleQuery(const peer::AnswerQuery& query);

    /// Completes the query that `reply` belongs to. Control thread only.
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
    std::uint64_t m_nextExchange { 1 }; ///< Control thread only, as is the next member.
    std::unordered_map<std::uint64_t, OnReply> m_pendingQueries;
};

/// Returns the node that accepted a request; its id is part of the request id.
NodeId acceptingNode(const RequestId& id);

} // namespace rattanrack::node
