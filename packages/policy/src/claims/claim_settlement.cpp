#include "rattanrack/policy/claim_settlement.h"

#include <algorithm>

namespace rattanrack::policy {

ClaimSettlement::ClaimSettlement(Claim claim, const std::vector<VmId>& workers)
    : m_claim(std::move(claim))
{
    for (const auto& worker : workers)
        m_words.emplace(worker, std::nullopt);
}

void ClaimSettlement::onWord(const VmId& worker, AttemptWord word, const std::string& output)
{
    const auto found = m_words.find(worker);
    if (found == m_words.end())
        return;
    found->second = word;
    if (word == AttemptWord::Revoked || word == AttemptWord::Running || m_finished)
        return;
    m_finished = m_claim;
    m_finished->state = word == AttemptWord::Completed ? ClaimState::Completed : ClaimState::Failed;
    m_finished->output = output;
}

std::vector<VmId> ClaimSettlement::open() const
{
    std::vector<VmId> workers;
    if (m_finished)
        return workers;
    for (const auto& [worker, word] : m_words) {
        if (!word || *word == AttemptWord::Running)
            workers.push_back(worker);
    }
    return workers;
}

std::optional<Claim> ClaimSettlement::settled() const
{
    if (m_finished)
        return m_finished;
    const bool allRevoked
        = std::ranges::all_of(m_words, [](const auto& entry) { return entry.second == AttemptWord::Revoked; });
    if (m_words.empty() || !allRevoked)
        return std::nullopt;
    Claim withdrawn = m_claim;
    withdrawn.state = ClaimState::Withdrawn;
    return withdrawn;
}

} // namespace rattanrack::policy
