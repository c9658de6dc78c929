#pragma once

#include "rattanrack/platform/table.h"
#include "rattanrack/policy/claims.h"
#include "rattanrack/policy/fleet_records.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrack::tools {

/// Replays the commits of a table in their order and checks what must hold after each of them:
/// - a VM's epoch never falls, its pool changes only under a higher epoch and never while it serves;
/// - the counts in a pool's row are those of its VMs' rows, and permits stay within the settings;
/// - a commit that spends a permit leaves the pool at its floor or above;
/// - versions of the configuration count up by one;
/// - a claim passes to another attempt only after it was withdrawn, and an ended claim never changes.
class HistoryChecker {
public:
    /// One commit that took effect; `version` is that of its rows.
    void apply(const platform::Transaction& transaction, platform::RowVersion version);

    std::uint64_t commits() const { return m_commits; }

    /// One line for each violation, at most 100.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    void applyVm(const platform::Write& write, platform::RowVersion version);
    void applyPool(const platform::Write& write, platform::RowVersion version);
    void applyConfigHead(const platform::Write& write);
    void applyClaims(const platform::Write& write);
    void applyClaim(const policy::Claim& claim);
    void checkPool(const policy::PoolRecord& pool);
    void require(bool holds, const std::string& what);

    std::uint64_t m_commits { 0 };
    platform::RowVersion m_version { 0 };
    std::uint64_t m_configVersion { 0 };
    std::map<VmId, policy::VmRecord> m_vms;
    std::map<PoolId, policy::PoolRecord> m_pools;
    std::map<PoolId, std::uint32_t> m_permitsBefore; ///< Of the pools that the present commit touches.
    std::map<IdempotencyKey, policy::Claim> m_claims;
    std::vector<std::string> m_violations;
};

} // namespace rattanrack::tools
