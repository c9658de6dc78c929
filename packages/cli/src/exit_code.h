#pragma once

#include "rattanrack/base/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace rattanrack::cli {

/// Exit status of the program; part of its interface, see docs/API-operators.md.
enum class ExitCode : int {
    Success = 0,
    CheckFailed = 1, ///< The configuration is invalid, or the load run broke an invariant.
    Usage = 2, ///< The command line or a file that it names cannot be used.
    Conflict = 3, ///< Somebody else changed the configuration first.
    Unavailable = 4, ///< No node answered, or the platform's table is down; nothing was changed.
    OutcomeUnknown = 5, ///< Sent, and what came of it could not be found out.
    Refused = 6, ///< The federation refused all or a part of what was asked.
    NotInForce = 7, ///< Accepted, but some node did not report the version in time.
};

/// What a command prints and how the program ends.
struct Outcome {
    ExitCode code { ExitCode::Success };
    std::string text; ///< For people.
    nlohmann::json json; ///< The same for programs.
};

/// The exit code that tells of `error`.
ExitCode exitCodeOf(const Error& error);

/// An outcome that reports `error`.
Outcome outcomeOf(const Error& error);

} // namespace rattanrack::cli
