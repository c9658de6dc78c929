#include "rattanrack/node/answer.h"

namespace rattanrack::node {

namespace {

constexpr Duration unknownRetryAfter = std::chrono::seconds { 5 };

} // namespace

std::string_view name(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Done:
        return "done";
    case AnswerKind::Failed:
        return "failed";
    case AnswerKind::NotRun:
        return "not_run";
    case AnswerKind::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

Answer doneAnswer(std::string output) { return { AnswerKind::Done, std::move(output), {}, {} }; }

Answer failedAnswer(std::string reason, std::string output)
{
    return { AnswerKind::Failed, std::move(output), std::move(reason), {} };
}

Answer notRunAnswer(policy::NotRunReason reason, Duration retryAfter)
{
    return { AnswerKind::NotRun, {}, std::string(policy::name(reason)), retryAfter };
}

Answer unknownAnswer(std::string reason)
{
    return { AnswerKind::OutcomeUnknown, {}, std::move(reason), unknownRetryAfter };
}

Answer refusalBeforeClaim(bool isRepeatable, policy::NotRunReason reason, Duration retryAfter)
{
    Answer answer = notRunAnswer(reason, retryAfter);
    if (!isRepeatable)
        answer.kind = AnswerKind::OutcomeUnknown;
    return answer;
}

} // namespace rattanrack::node
