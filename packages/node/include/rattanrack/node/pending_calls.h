#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace rattanrack::node {

/// Calls to other nodes that wait for their replies. Control thread only. `Reply` has a member `exchange`; a
/// default-constructed `Reply` says that none has arrived. Each object counts exchanges from a random number, so that a
/// reply to an earlier process of the node, which arrives at the same address, matches no call of this process.
template <typename Reply> class PendingCalls {
public:
    using OnReply = std::function<void(const Reply&)>;

    /// Returns the exchange number that the call must carry. `onReply` is called once: with the reply, or with a
    /// default-constructed one when the deadline has passed.
    std::uint64_t add(Deadline deadline, OnReply onReply)
    {
        m_pending.emplace(++m_lastExchange, PendingCall { deadline, std::move(onReply) });
        return m_lastExchange;
    }

    void handleReply(const Reply& reply)
    {
        auto pending = m_pending.extract(reply.exchange);
        if (!pending.empty())
            pending.mapped().onReply(reply);
    }

    /// Whether the call waits for its reply.
    bool contains(std::uint64_t exchange) const { return m_pending.contains(exchange); }

    /// Ends the calls whose deadline has passed.
    void expire(TimePoint now)
    {
        std::vector<std::uint64_t> expired;
        for (const auto& [exchange, pending] : m_pending) {
            if (pending.deadline.hasPassed(now))
                expired.push_back(exchange);
        }
        for (const std::uint64_t exchange : expired)
            handleReply(Reply { exchange });
    }

private:
    struct PendingCall {
        Deadline deadline;
        OnReply onReply;
    };

    static std::uint64_t randomNumber()
    {
        std::random_device random;
        return std::uniform_int_distribution<std::uint64_t> {}(random);
    }

    std::uint64_t m_lastExchange { randomNumber() };
    std::map<std::uint64_t, PendingCall> m_pending;
};

} // namespace rattanrack::node
