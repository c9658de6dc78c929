#pragma once

#include <optional>
#include <string>

namespace rattanrack::measure {

/// Which side of the target is good.
enum class Good { AtMost, AtLeast, Below, NoTarget };

/// One measured figure, printed as one line of key=value pairs.
struct MeasureLine {
    std::string measure;
    std::string user;
    std::string policy { "credits_with_home" };
    double value { 0 };
    std::string unit;
    std::optional<double> baseline;
    std::optional<double> bound;
    std::optional<double> target;
    Good good { Good::NoTarget };
};

void print(const MeasureLine&);

} // namespace rattanrack::measure
