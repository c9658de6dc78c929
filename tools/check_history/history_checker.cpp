#include "history_checker.h"

#include "rattanrack/policy/claim_row_codec.h"
#include "rattanrack/policy/fleet_rows.h"

#include <nlohmann/json.hpp>

namespace rattanrack::tools {

namespace {

constexpr std::size_t maxViolations = 100;
const std::string claimsPrefix = "claims/";
const std::string configHeadKey = "config/head";

} // namespace

void HistoryChecker::apply(const platform::Transaction& transaction, platform::RowVersion version)
{
    ++m_commits;
    m_version = version;
    m_permitsBefore.clear();
    for (const platform::Write& write : transaction.writes) {
        if (write.key.starts_with(policy::vmKeyPrefix))
            applyVm(write, version);
        else if (write.key.starts_with(policy::poolKeyPrefix))
            applyPool(write, version);
        else if (write.key == configHeadKey)
            applyConfigHead(write);
        else if (write.key.starts_with(claimsPrefix))
            applyClaims(write);
    }
    // Rows of one commit take effect together: counts are compared when all of them are in.
    for (const auto& [id, permits] : m_permitsBefore)
        checkPool(m_pools.at(id));
}

void HistoryChecker::applyVm(const platform::Write& write, platform::RowVersion version)
{
    const VmId id { write.key.substr(policy::vmKeyPrefix.size()) };
    if (!write.value) {
        m_vms.erase(id);
        return;
    }
    const auto vm = valueOrNothing([&] { return policy::decodeVm(write.key, *write.value, version); });
    require(vm.has_value(), write.key + " can be decoded");
    if (!vm)
        return;
    const auto known = m_vms.find(id);
    if (known != m_vms.end()) {
        const policy::VmRecord& before = known->second;
        require(vm->epoch >= before.epoch, write.key + " keeps or raises its epoch");
        const bool movesPool = vm->pool != before.pool;
        require(!movesPool || vm->epoch > before.epoch, write.key + " changes its pool under a higher epoch");
        require(!movesPool || before.phase != policy::VmPhase::Serving, write.key + " does not serve while it moves");
    }
    m_vms[id] = *vm;
}

void HistoryChecker::applyPool(const platform::Write& write, platform::RowVersion version)
{
    const PoolId id { write.key.substr(policy::poolKeyPrefix.size()) };
    if (!write.value) {
        m_pools.erase(id);
        return;
    }
    const auto pool = valueOrNothing([&] { return policy::decodePool(write.key, *write.value, version); });
    require(pool.has_value(), write.key + " can be decoded");
    if (!pool)
        return;
    const auto known = m_pools.find(id);
    m_permitsBefore[id] = known == m_pools.end() ? 0 : known->second.counts.permits;
    m_pools[id] = *pool;
}

void HistoryChecker::checkPool(const policy::PoolRecord& pool)
{
    std::uint32_t members = 0;
    std::uint32_t permits = 0;
    for (const auto& [id, vm] : m_vms) {
        if (vm.pool != pool.id)
            continue;
        ++members;
        permits += vm.holdsPermit ? 1 : 0;
    }
    const std::string name = "pool " + pool.id.value();
    require(pool.counts.members == members, name + " counts its VMs");
    require(pool.counts.permits == permits, name + " counts the permits that its VMs hold");
    const bool hasSpent = pool.counts.permits > m_permitsBefore.at(pool.id);
    require(
        !hasSpent || pool.counts.permits <= pool.settings.maxPlannedDown, name + " spends no permit beyond its own");
    require(
        !hasSpent || pool.counts.serving() >= pool.settings.floor, name + " keeps its floor when it spends a permit");
}

void HistoryChecker::applyConfigHead(const platform::Write& write)
{
    const auto head = nlohmann::json::parse(write.value.value_or(""), nullptr, false);
    const std::uint64_t version = head.is_object() ? head.value("version", std::uint64_t { 0 }) : 0;
    require(version == m_configVersion + 1, "the configuration's version counts up by one");
    m_configVersion = version;
}

void HistoryChecker::applyClaims(const platform::Write& write)
{
    // Removed rows hold only records that later rows supersede, or whose time is over.
    if (!write.value)
        return;
    const auto claims = policy::decodeClaimRow(*write.value);
    require(claims.has_value(), write.key + " can be decoded");
    if (!claims)
        return;
    for (const policy::Claim& claim : *claims)
        applyClaim(claim);
}

void HistoryChecker::applyClaim(const policy::Claim& claim)
{
    const auto known = m_claims.find(claim.key);
    if (known != m_claims.end()) {
        const policy::Claim& before = known->second;
        const bool isSameAttempt = before.attempt == claim.attempt;
        const bool wasWithdrawn = before.state == policy::ClaimState::Withdrawn;
        require(isSameAttempt || wasWithdrawn, "claim " + claim.key.value() + " passes on only when withdrawn");
        const bool hasEnded
            = before.state == policy::ClaimState::Completed || before.state == policy::ClaimState::Failed;
        require(!hasEnded || claim == before, "claim " + claim.key.value() + " stays as it ended");
    }
    m_claims[claim.key] = claim;
}

void HistoryChecker::require(bool holds, const std::string& what)
{
    if (!holds && m_violations.size() < maxViolations)
        m_violations.push_back("version " + std::to_string(m_version) + ": not so: " + what);
}

} // namespace rattanrack::tools
