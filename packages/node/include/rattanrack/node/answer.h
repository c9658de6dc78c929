#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/traffic.h"

#include <string>
#include <string_view>

namespace rattanrack::node {

/// Outcome of a request, as returned to its caller.
enum class AnswerKind {
    Done, ///< Completed; `output` is the whole result.
    Failed, ///< Ran, wholly or in part, and failed; `output` says how.
    NotRun, ///< Did not run and will not.
    OutcomeUnknown, ///< May have run.
};

/// The final answer to one request.
struct Answer {
    AnswerKind kind { AnswerKind::OutcomeUnknown };
    std::string output;
    std::string reason; ///< Machine-readable, such as "queue_full". Empty when Done.
    Duration retryAfter {}; ///< How long the caller should wait before it retries; zero: a retry is useless.
};

/// Reason of the answer to a request whose key was already used by a request with different content.
inline constexpr std::string_view keyReusedReason = "key_reused_with_other_content";

/// "done", "failed", "not_run" or "outcome_unknown".
std::string_view name(AnswerKind);

Answer doneAnswer(std::string output);
Answer failedAnswer(std::string reason, std::string output);
Answer notRunAnswer(policy::NotRunReason reason, Duration retryAfter);
Answer unknownAnswer(std::string reason);

/// Returns the answer to a request that was rejected before its claim (the record that is stored before a
/// non-repeatable request is sent) was looked up. A repeatable request has not run. A non-repeatable one may have run
/// under an earlier submission with its key, through any node, so its outcome is unknown and the answer contains a
/// retry time.
Answer refusalBeforeClaim(bool isRepeatable, policy::NotRunReason reason, Duration retryAfter);

} // namespace rattanrack::node
