#pragma once

#include "history.h"

namespace rattanrack::tools {

/// How many places of a pool's workers are taken. Workers that drain have none.
struct PoolUse {
    int places { 0 };
    int taken { 0 };
    int free { 0 }; ///< Of the workers that are not over their capacity.

    bool isUnderHalf() const { return 2 * taken < places; }
};

PoolUse poolUse(const History& history, const std::string& pool, TimePoint at);

/// The longest time without a run of the job while less than half of its pool was in use, from the end of the last
/// trouble, or the job's acceptance, to the end of the play. The users count an unfinished job as lost from 3 s on.
Duration longestWaitBesideUnusedPool(const History& history, const jobs::JobId& job);

} // namespace rattanrack::tools
