#pragma once

#include <cstdio>
#include <vector>

namespace rattanrack::capacity {

/// One measurement: a size and what was measured at it.
struct Sample {
    double size { 0 };
    double value { 0 };
};

/// value = base + slope * size, by least squares.
struct Line {
    double base { 0 };
    double slope { 0 };
    double at(double size) const { return base + slope * size; }
};

inline Line fitLine(const std::vector<Sample>& samples)
{
    double sizes = 0;
    double values = 0;
    for (const Sample& sample : samples) {
        sizes += sample.size;
        values += sample.value;
    }
    const auto count = static_cast<double>(samples.size());
    double covariance = 0;
    double variance = 0;
    for (const Sample& sample : samples) {
        covariance += (sample.size - sizes / count) * (sample.value - values / count);
        variance += (sample.size - sizes / count) * (sample.size - sizes / count);
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    return { values / count - slope * sizes / count, slope };
}

/// Prints the samples, their line, and its value at `target`.
inline double report(const char* name, const char* unit, const std::vector<Sample>& samples, double target)
{
    const Line line = fitLine(samples);
    std::printf("measure=%s unit=%s", name, unit);
    for (const Sample& sample : samples)
        std::printf(" at_%g=%.4g", sample.size, sample.value);
    std::printf(" base=%.4g slope=%.4g at_target_%g=%.4g\n", line.base, line.slope, target, line.at(target));
    return line.at(target);
}

} // namespace rattanrack::capacity
