#include "measure_fleet/measure.h"

#include <iomanip>
#include <iostream>

namespace rattanrack::measure {

void print(const Measure& measure)
{
    std::cout << std::fixed << std::setprecision(3) << "measure=" << measure.name << " user=" << measure.user
              << " policy=" << measure.policy << " value=" << measure.value << " unit=" << measure.unit
              << " baseline=" << measure.baseline << " bound=" << measure.bound << " target=" << measure.target
              << " verdict=" << (measure.isMet() ? "met" : "missed") << '\n';
}

} // namespace rattanrack::measure
