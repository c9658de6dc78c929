#pragma once

#include "rattanrack/policy/traffic.h"

#include <cstdint>
#include <list>
#include <vector>

namespace rattanrack::policy {

/// A request between its submission and its final decision.
struct Request {
    RequestSpec spec;
    TimePoint arrived;
    TimePoint dispatched;
    VmId worker; ///< Where it runs; empty while it waits.
    std::vector<VmId> tried; ///< Workers of earlier attempts; an attempt never returns to one of them.
    bool isCancelled { false };
    bool isStopping { false };
    std::list<Request*>::iterator position; ///< Its place in the queue while it waits.

    bool isRunning() const { return !worker.isEmpty(); }
    std::uint32_t attempts() const { return static_cast<std::uint32_t>(tried.size()); }
};

} // namespace rattanrack::policy
