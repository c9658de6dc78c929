#pragma once

#include "rattanrack/jobs/customer.h"

#include <cstdint>

namespace rattanrack::jobs {

/// What a customer with a quota uses of it in one cell.
struct CustomerUse {
    CustomerId customer;
    ResourceSize quota; ///< In all cells together, as configured.
    ResourceSize used; ///< By runs that may be active, also those that are being started or stopped.
    ResourceSize waiting; ///< By tasks that nothing but the quota kept from starting in the latest scheduling pass.
    ResourceSize unit; ///< The smallest part of `waiting` that can start by itself: one task, or a whole gang.

    friend bool operator==(const CustomerUse&, const CustomerUse&) = default;
};

/// What the tasks of a customer may use in one cell.
struct CustomerLimit {
    ResourceSize size; ///< Of resources without a quota: `unlimitedSize`.
    /// The cell has the whole quota. One task that is larger than the quota may start when nothing else runs.
    bool isWholeQuota { false };

    friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

constexpr std::int64_t unlimitedCount = std::int64_t { 1 } << 60;
constexpr ResourceSize unlimitedSize { Millicores { unlimitedCount }, Mebibytes { unlimitedCount },
    Accelerators { unlimitedCount } };

} // namespace rattanrack::jobs
