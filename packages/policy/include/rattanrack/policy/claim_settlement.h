#pragma once

#include "rattanrack/policy/claims.h"

#include <map>
#include <optional>
#include <vector>

namespace rattanrack::policy {

/// What a worker says of an attempt after it was asked to revoke it.
enum class AttemptWord : std::uint8_t {
    Revoked, ///< Did not start and never will.
    Running,
    Completed,
    Failed,
    Stopped, ///< Started and was ended.
};

/// Finds out what became of a claim whose owner is gone, from the words of all workers that it could have been sent
/// to. The claim is withdrawn only when every one of them has promised never to start it: an answer "not seen" without
/// that promise proves nothing, since the order may still be on its way. Pure; not thread-safe.
///
///     settlement.onWord(worker, AttemptWord::Revoked, "");
///     if (auto settled = settlement.settled())
///         submit(*settled);
class ClaimSettlement {
public:
    /// `workers`: every VM that has served the pool at any time since the claim was made.
    ClaimSettlement(Claim claim, const std::vector<VmId>& workers);

    /// `output` is the worker's report for Completed and Failed. Words of other workers are ignored.
    void onWord(const VmId& worker, AttemptWord, const std::string& output);

    /// Workers that still have to be asked, or asked again: no word yet, or running.
    std::vector<VmId> open() const;

    /// The claim in its final state; empty while the outcome is unknown.
    std::optional<Claim> settled() const;

private:
    Claim m_claim;
    std::map<VmId, std::optional<AttemptWord>> m_words;
    std::optional<Claim> m_finished;
};

} // namespace rattanrack::policy
