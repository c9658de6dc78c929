#pragma once

#include "workload.h"

#include <memory>

namespace rattanrack::measure {

/// The bound: one queue for the whole federation that knows every slot and every true run time, sends without delay,
/// serves the most urgent and then the oldest first, and drops what can't be done by its deadline.
std::unique_ptr<policy::TrafficPolicy> createOmniscientQueue(const Workload&);

} // namespace rattanrack::measure
