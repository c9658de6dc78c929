#pragma once

#include "rattanrack/policy/claims.h"

#include <functional>

namespace rattanrack::node {

/// Where requests that are not repeatable are recorded before they are sent.
class ClaimRecorder {
public:
    using OnAnswer = std::function<void(policy::ClaimAnswer)>;

    virtual ~ClaimRecorder() = default;

    /// Records a claim, or its change to Withdrawn, Completed or Failed. Never blocks. `onAnswer` is called exactly
    /// once, on any thread; an answer of Unavailable proves nothing about the record.
    virtual void submit(policy::Claim claim, OnAnswer onAnswer) = 0;

    /// False while the table is thought to be down: a claim that is Unavailable then is not worth another try soon.
    virtual bool isStoreUp() const = 0;
};

} // namespace rattanrack::node
