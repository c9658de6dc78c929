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

/// A caller's request after validation.
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

/// A request between its arrival and its answer. The control thread passes attempts to the traffic thread, which waits
/// for them and calls the worker. Thread-safe.
class PendingRequest {
public:
    explicit PendingRequest(CallerRequest request)
        : m_request(std::move(request))
    {
    }

    const CallerRequest& request() const { return m_request; }

    /// Binds the calling thread as the one that carries out attempts. Returns false if another thread is bound.
    bool bindDriver();

    /// Unbinds the thread. Returns an attempt that was passed meanwhile and has not been carried out.
    std::optional<AttemptOrder> unbindDriver();

    /// Passes an attempt to the bound thread. Returns false if none is bound: the control thread then runs the attempt
    /// on the thread pool.
    bool offer(AttemptOrder order);

    /// Sets the final answer, unless one is set already. Returns whether this call set it.
    bool conclude(Answer answer);

    struct StillWaiting { };
    using Step = std::variant<AttemptOrder, Answer, StillWaiting>;

    /// Waits until there is an attempt to carry out or an answer, or until `deadline` passes. Must be called on the
    /// bound thread.
    Step nextStep(Deadline deadline, const Clock& clock);

    /// Waits for the answer. Returns nothing if `deadline` passes first.
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
