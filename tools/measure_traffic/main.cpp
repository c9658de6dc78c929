#include "measures.h"

#include "rattanrack/base/invariant.h"

#include <docopt/docopt.h>

#include <cstdio>

namespace {

constexpr char usage[] = R"(Measures the traffic decisions in virtual time; the output is the same on every run.

Usage:
  measure-traffic [placement | floods | faults | two-year]
  measure-traffic --help
)";

} // namespace

int main(int argc, const char** argv)
{
    using namespace rattanrack::measure;
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    rattanrack::setInvariantsFatal(true);
    bool isAll = true;
    for (const auto* part : { "placement", "floods", "faults", "two-year" })
        isAll &= !arguments[part].asBool();
    for (const auto* user : { &lindmayr(), &namiotech() }) {
        if (isAll || arguments["placement"].asBool())
            measurePlacement(*user);
        if (isAll || arguments["floods"].asBool())
            measureFloods(*user);
        if (isAll || arguments["faults"].asBool())
            measureFaults(*user);
    }
    if (isAll || arguments["two-year"].asBool())
        measureTwoYearSize();
    return 0;
}
