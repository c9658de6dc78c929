#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/node/pending_request.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

namespace rattanrack::node {

/// Requests that this node has accepted: live ones, and answered ones for a limited time, so that callers can fetch an
/// answer later or submit a request again. Bounded by time, number and bytes. Thread-safe.
class RequestHistory {
public:
    RequestHistory(std::size_t maxFinished, std::uint64_t maxFinishedBytes);

    /// Adds a live request and returns it. If `request` has a key that another request has, returns that other request
    /// and adds nothing.
    std::shared_ptr<PendingRequest> addOrFind(const std::shared_ptr<PendingRequest>& request);

    /// Returns null if the id is unknown or the request was removed.
    std::shared_ptr<PendingRequest> find(const RequestId& id) const;

    /// Keeps an answered request until `expiresAt`, or until a limit is reached.
    void finish(const std::shared_ptr<PendingRequest>& request, Deadline expiresAt);

    /// Removes a request's key, so that the key can be used for a new submission.
    void releaseKey(const IdempotencyKey& key, const RequestId& holder);

    void removeExpired(TimePoint now);

private:
    struct Finished {
        RequestId id;
        Deadline expiresAt;
        std::uint64_t bytes { 0 };
    };

    void removeOldest();

    const std::size_t m_maxFinished;
    const std::uint64_t m_maxFinishedBytes;
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<PendingRequest>> m_requests;
    std::unordered_map<IdempotencyKey, RequestId> m_byKey;
    std::deque<Finished> m_finished;
    std::uint64_t m_finishedBytes { 0 };
};

} // namespace rattanrack::node
