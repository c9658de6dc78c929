#include "measure_line.h"

#include <cstdio>

namespace rattanrack::measure {

namespace {

std::string text(const std::optional<double>& value)
{
    if (!value)
        return "none";
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%.4g", *value);
    return buffer;
}

std::string verdict(const MeasureLine& line)
{
    if (!line.target)
        return "none";
    const double value = line.value;
    const double target = *line.target;
    const bool isMet = line.good == Good::AtLeast ? value >= target
        : line.good == Good::Below                ? value < target
                                                  : value <= target;
    return isMet ? "met" : "missed";
}

} // namespace

void print(const MeasureLine& line)
{
    std::printf("measure=%s user=%s policy=%s value=%s unit=%s baseline=%s bound=%s target=%s verdict=%s\n",
        line.measure.c_str(), line.user.c_str(), line.policy.c_str(), text(line.value).c_str(), line.unit.c_str(),
        text(line.baseline).c_str(), text(line.bound).c_str(), text(line.target).c_str(), verdict(line).c_str());
    std::fflush(stdout);
}

} // namespace rattanrack::measure
