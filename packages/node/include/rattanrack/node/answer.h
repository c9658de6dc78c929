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

/// "done", "failed", "not_run" or "outcome_unknown".
std::string_view name(AnswerKind);

Answer doneAnswer(std::string output);
Answer failedAnswer(std::string reason, std::string output);
Answer notRunAnswer(policy::NotRunReason reason, Duration retryAfter);
Answer unknownAnswer(std::string reason);

} // namespace rattanrack::node
