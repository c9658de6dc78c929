#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/policy/traffic.h"

#include <string>
#include <string_view>

namespace rattanrack::node {

/// What a caller is told of its request in the end.
enum class AnswerKind {
    Done, ///< Ran to its end; `output` is the whole result.
    Failed, ///< Ran, wholly or in part, and failed; `output` says how.
    NotRun, ///< Did not run and will not.
    OutcomeUnknown, ///< May have run.
};

/// The final answer to one request.
struct Answer {
    AnswerKind kind { AnswerKind::OutcomeUnknown };
    std::string output;
    std::string reason; ///< Machine-readable, such as "queue_full". Empty when Done.
    Duration retryAfter {}; ///< Advice on when to ask again; zero: no use.
};

/// Reason of a request whose key belongs to one with other content.
inline constexpr std::string_view keyReusedReason = "key_reused_with_other_content";

/// "done", "failed", "not_run" or "outcome_unknown".
std::string_view name(AnswerKind);

Answer doneAnswer(std::string output);
Answer failedAnswer(std::string reason, std::string output);
Answer notRunAnswer(policy::NotRunReason reason, Duration retryAfter);
Answer unknownAnswer(std::string reason);

/// The answer to a request that is turned away before its record was looked up. A repeatable one has not run. One that
/// is not may have run under an earlier submission with its key, through any node: that is not known, and the caller is
/// told when to ask again.
Answer refusalBeforeClaim(bool isRepeatable, policy::NotRunReason reason, Duration retryAfter);

} // namespace rattanrack::node
