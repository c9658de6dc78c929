#pragma once

#include "rattanrack/base/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::cli {

/// One measure of a federation, as a measuring tool printed it.
struct Measure {
    std::string name;
    std::string user; ///< Whose workload was measured; may be empty.
    std::string policy; ///< May be empty.
    std::string unit;
    double value { 0 };
    std::optional<double> baseline; ///< The same measured with the simplest policy.
    std::optional<double> bound; ///< The best that is possible.
    std::string verdict; ///< "met", "missed" or "none".
};

/// Takes the lines that begin with "measure=" out of a tool's output: `measure=NAME value=NUMBER` and, in any order,
/// user, policy, unit, baseline, bound and verdict, where "none" stands for no number. Errors: InvalidArgument (such a
/// line without a value, or no such line).
Result<std::vector<Measure>> parseMeasures(std::string_view text);

} // namespace rattanrack::cli
