#pragma once

#include "traffic/credit_holder.h"
#include "traffic/pool_queue.h"
#include "traffic/retry_budget.h"

#include <unordered_map>

namespace rattanrack::policy {

/// What one node knows of one pool.
struct Pool {
    PoolPolicy policy;
    std::unordered_map<WorkKind, KindPolicy> kinds;
    PoolQueue queue;
    CreditHolder credits;
    RetryBudget retries;
};

} // namespace rattanrack::policy
