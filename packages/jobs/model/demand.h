#pragma once

#include "rattanrack/base/time.h"

#include <vector>

namespace rattanrack::jobs::model {

/// An amount of what is limited, to be used between two points in time.
struct Demand {
    TimePoint from {};
    TimePoint until {};
    double amount { 0 };
};

/// Whether all demands can be met at `rate` a second, if each can be interrupted.
bool isFeasible(std::vector<Demand> demands, double rate);

} // namespace rattanrack::jobs::model
