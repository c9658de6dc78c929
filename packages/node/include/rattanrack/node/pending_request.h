#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/node/answer.h"
#include "rattanrack/platform/worker.h"
#include "rattanrack/policy/traffic.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace rattanrack::node {

/// What a caller sent, checked and complete.
struct CallerRequest {
    policy::RequestSpec spec;
    CallerId caller;
    IdempotencyKey key; ///< Empty when the caller chose none.
    std::uint64_t fingerprint { 0 }; ///< Hash of the content.
    std::string payload;
};

/// One attempt that the control thread has decided on.
struct AttemptOrder {
    policy::Dispatch dispatch;
    AttemptId attempt;
    std::shared_ptr<platform::Worker> worker;
};

/// A request between its arrival and its answer: the meeting point of the control thread, which decides, and the
/// traffic thread, which waits and talks to the worker. Thread-safe.
class PendingRequest {
public:
    explicit PendingRequest(CallerRequest request)
        : m_request(std::move(request))
    {
    }

    const CallerRequest& request() const { return m_request; }

    /// Binds this thread as the one that carries out attempts, when there is none. False when another is bound.
    bool bindDriver();

    /// Unbinds it. Returns an order that came meanwhile and nobody has taken.
    std::optional<AttemptOrder> unbindDriver();

    /// Hands an attempt to the bound thread. False when none is bound: the control thread sends it elsewhere.
    bool offer(AttemptOrder order);

    /// Sets the final answer; the first one counts. True when this call set it.
    bool conclude(Answer answer);

    struct StillWaiting { };
    using Step = std::variant<AttemptOrder, Answer, StillWaiting>;

    /// For the bound thread: waits until there is an attempt to carry out or an answer, or until `deadline` passes.
    Step nextStep(Deadline deadline, const Clock& clock);

    /// Waits for the answer only. Empty when `deadline` passes first.
    std::optional<Answer> awaitAnswer(Deadline deadline, const Clock& clock);

    std::optional<Answer> answer() const;

private:
    const CallerRequest m_request;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_hasDriver { false };
    std::optional<AttemptOrder> m_order;
    std::optional<Answer> m_answer;
};

} // namespace rattanrack::node
