#include "rattanrack/base/error.h"

namespace rattanrack {

std::string_view message(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid argument";
    case ErrorCode::InvalidConfiguration:
        return "invalid configuration";
    case ErrorCode::NotFound:
        return "not found";
    case ErrorCode::Conflict:
        return "conflicting change";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::OutcomeUnknown:
        return "outcome unknown";
    case ErrorCode::DeadlineExceeded:
        return "deadline exceeded";
    case ErrorCode::MalformedMessage:
        return "malformed message";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::Internal:
        return "internal error";
    }
    return "internal error";
}

std::string describe(const Error& error)
{
    std::string text { message(error.code) };
    text += " step=" + error.step;
    if (!error.peer.empty())
        text += " peer=" + error.peer;
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

std::ostream& operator<<(std::ostream& out, const Error& error) { return out << describe(error); }

} // namespace rattanrack
