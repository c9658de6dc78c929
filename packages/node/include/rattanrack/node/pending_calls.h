#pragma once

#include "rattanrack/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace rattanrack::node {

/// Questions to other nodes that wait for their replies. Belongs to the control thread. `Reply` has a member
/// `exchange`, and its default says that nothing has come. Each object counts from a random number: replies to an
/// earlier process of the node, which come to the same address, answer none of its questions.
template <typename Reply> class PendingCalls {
public:
    using OnReply = std::function<void(const Reply&)>;

    /// The number that the question carries. `onReply` is called once: with the reply, or with the default one when the
    /// deadline has passed.
    std::uint64_t add(Deadline deadline, OnReply onReply)
    {
        m_waiting.emplace(++m_last, Waiting { deadline, std::move(onReply) });
        return m_last;
    }

    void handleReply(const Reply& reply)
    {
        auto waiting = m_waiting.extract(reply.exchange);
        if (!waiting.empty())
            waiting.mapped().onReply(reply);
    }

    /// Ends those whose deadline has passed.
    void expire(TimePoint now)
    {
        std::vector<std::uint64_t> late;
        for (const auto& [exchange, waiting] : m_waiting) {
            if (waiting.deadline.hasPassed(now))
                late.push_back(exchange);
        }
        for (const std::uint64_t exchange : late)
            handleReply(Reply { exchange });
    }

private:
    struct Waiting {
        Deadline deadline;
        OnReply onReply;
    };

    static std::uint64_t randomNumber()
    {
        std::random_device random;
        return std::uniform_int_distribution<std::uint64_t> {}(random);
    }

    std::uint64_t m_last { randomNumber() };
    std::map<std::uint64_t, Waiting> m_waiting;
};

} // namespace rattanrack::node
