#pragma once

#include "rattanrack/base/strong_id.h"
#include "rattanrack/base/units.h"

namespace rattanrack::jobs {

using CustomerId = StrongId<struct CustomerIdTag>; ///< Name of a customer, as the configuration has it.

/// What operators have configured for a customer.
struct Customer {
    CustomerId id;
    /// Above 0. The customer's share of a full cell in proportion to the weights of the others, and the jobs a second
    /// that it may submit before its further jobs wait behind those of the others.
    double weight { 1 };
    /// What the customer's tasks may use at the same time, in all cells together; 0 of a resource: no limit.
    ResourceSize quota;

    bool hasQuota() const { return quota != ResourceSize {}; }

    friend bool operator==(const Customer&, const Customer&) = default;
};

} // namespace rattanrack::jobs
