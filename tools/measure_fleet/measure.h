#pragma once

#include <string>

namespace rattanrack::measure {

enum class Direction { LowerIsBetter, HigherIsBetter };

/// One line of the output. `bound` is what an oracle or the budget allows at best; `target` is on `value`.
struct Measure {
    std::string name;
    std::string user;
    std::string policy;
    double value { 0 };
    std::string unit;
    double baseline { 0 };
    double bound { 0 };
    double target { 0 };
    Direction direction { Direction::LowerIsBetter };

    bool isMet() const { return direction == Direction::LowerIsBetter ? value <= target : value >= target; }
};

/// Prints the measure as one line of key=value pairs.
void print(const Measure&);

/// Weights of the four measures in a user's total.
struct Weights {
    double bufferCost { 1 };
    double rollOutTime { 1 };
    double moves { 1 };
    double floodService { 1 };
};

} // namespace rattanrack::measure
