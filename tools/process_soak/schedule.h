#pragma once

#include "loopback_proxy.h"

#include <cstdint>
#include <vector>

namespace rattanrack::tools {

enum class Action { Terminate, Reload, Drain, Wave, Kill, Freeze, StoreLink, WorkerLink, Crash };

/// One thing that is done to the world.
struct Step {
    Duration at {}; ///< Since the beginning.
    Action action { Action::Terminate };
    std::size_t target { 0 }; ///< Number of a node, or of a worker.
    Duration length {};
    LinkMode mode { LinkMode::Pass };
};

/// Series of troubles that overlap, in order of time; the same for equal arguments. Even seeds play planned work
/// alone, so that what it costs callers can be told; odd ones all kinds.
std::vector<Step> scheduleOf(std::uint64_t seed, Duration length, std::size_t nodes, std::size_t workers);

} // namespace rattanrack::tools
