#pragma once

#include "rattanrack/jobs/ownership.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/peer/messages.h"

#include <functional>
#include <map>
#include <string>

namespace rattanrack::node {

/// Requests of callers on their way: to the cell's owner and back. Belongs to the control thread.
class JobCalls {
public:
    using OnReply = std::function<void(const peer::JobReply&)>;
    using Send = std::function<void(const std::string& address, peer::Message message)>;

    JobCalls(std::string selfAddress, Send send)
        : m_selfAddress(std::move(selfAddress))
        , m_send(std::move(send))
    {
    }

    /// Sends the call to the owner at `address`. `onReply` is called once, unless no reply comes before `deadline`.
    void forward(peer::JobCall call, const std::string& address, Deadline deadline, OnReply onReply);

    void replied(const peer::JobReply& reply);

    /// Forgets calls whose deadline has passed.
    void expire(TimePoint now);

private:
    struct Waiting {
        Deadline deadline;
        OnReply onReply;
    };

    std::string m_selfAddress;
    Send m_send;
    std::uint64_t m_lastExchange { 0 };
    std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace rattanrack::node
