#pragma once

#include "rattanrack/policy/claims.h"

#include <functional>

namespace rattanrack::node {

/// Records non-repeatable requests before they are sent.
class ClaimRecorder {
public:
    using OnAnswer = std::function<void(policy::ClaimAnswer)>;

    virtual ~ClaimRecorder() = default;

    /// Records a claim, or its change to Withdrawn, Completed or Failed. Never blocks. `onAnswer` is called exactly
    /// once, on any thread; Unavailable does not prove that the claim is not recorded.
    virtual void submit(policy::Claim claim, OnAnswer onAnswer) = 0;

    /// False while the table is assumed to be down: it is then of no use to retry an Unavailable claim soon.
    virtual bool isStoreUp() const = 0;
};

} // namespace rattanrack::node
