#include "exit_code.h"

namespace rattanrack::cli {

ExitCode exitCodeOf(const Error& error)
{
    switch (error.code) {
    case ErrorCode::InvalidConfiguration:
        return ExitCode::CheckFailed;
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
        return ExitCode::Usage;
    case ErrorCode::Conflict:
        return ExitCode::Conflict;
    case ErrorCode::Unavailable:
    case ErrorCode::DeadlineExceeded:
        return ExitCode::Unavailable;
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::MalformedMessage:
    case ErrorCode::Internal:
        return ExitCode::OutcomeUnknown;
    case ErrorCode::Refused:
    case ErrorCode::Unauthorized:
        return ExitCode::Refused;
    }
    return ExitCode::OutcomeUnknown;
}

Outcome outcomeOf(const Error& error)
{
    Outcome outcome;
    outcome.code = exitCodeOf(error);
    outcome.text = "error: " + describe(error) + "\n";
    outcome.json = { { "error", message(error.code) }, { "step", error.step }, { "peer", error.peer },
        { "detail", error.detail } };
    return outcome;
}

} // namespace rattanrack::cli
