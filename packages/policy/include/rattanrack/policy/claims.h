#pragma once

#include "rattanrack/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Records that make a request run at most once: who may run it, and what came of it.
namespace rattanrack::policy {

/// What is known of a claimed request.
enum class ClaimState : std::uint8_t {
    Claimed, ///< An attempt may have been sent.
    Withdrawn, ///< Proven not run; the key may be claimed again.
    Completed, ///< Ran; the answer is in the record or, when large, in the object store.
    Failed, ///< Ran and failed.
};

/// One idempotency key's record. A record changes only Claimed to Withdrawn, Completed or Failed, and Withdrawn to
/// Claimed under a new attempt.
struct Claim {
    IdempotencyKey key;
    std::uint64_t fingerprint { 0 }; ///< Hash of the request's content: the same key with other content is an error.
    AttemptId attempt;
    NodeId owner; ///< The only node that ever sends this attempt.
    ClaimState state { ClaimState::Claimed };
    std::string output; ///< Answer of a completed or failed request.

    friend bool operator==(const Claim&, const Claim&) = default;
};

/// Answer to a node that wants to run a request.
enum class ClaimVerdict : std::uint8_t {
    Granted, ///< Durable: this attempt, and no other, may be sent.
    Taken, ///< Another attempt holds or held the key; see the claim.
    ContentDiffers, ///< The key belongs to a request with other content.
    Unavailable, ///< Could not be recorded now; nothing may be sent.
};

struct ClaimAnswer {
    ClaimVerdict verdict { ClaimVerdict::Unavailable };
    Claim claim; ///< The record in force, unless Unavailable.
};

} // namespace rattanrack::policy
