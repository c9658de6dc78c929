#include "rattanrack/policy/fleet_borrowing.h"

#include "counting.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattanrack::policy {

namespace {

double secondsOf(Duration duration) { return std::chrono::duration<double> { duration }.count(); }

} // namespace

/// One pool during a decision.
struct BorrowingPlanner::Standing {
    const PoolLoad* load { nullptr };
    double sustained { 0 };
    double peak { 0 };
    std::uint32_t have { 0 }; ///< Serving or arriving, after the transfers decided so far.
    std::uint32_t serving { 0 };
    std::uint32_t mayGive { 0 };
    std::uint32_t mayTake { 0 };
};

/// The least need of the window: a surge that is shorter never shows.
double BorrowingPlanner::sustainedNeed(History& history, double needed, TimePoint now) const
{
    auto& lows = history.lows;
    while (!lows.empty() && lows.back().needed >= needed)
        lows.pop_back();
    lows.push_back({ needed, now });
    while (now - lows.front().at > m_times.sustained)
        lows.pop_front();
    return lows.front().needed;
}

double BorrowingPlanner::recentPeak(History& history, double sustained, TimePoint now) const
{
    auto& highs = history.highs;
    while (!highs.empty() && highs.back().needed <= sustained)
        highs.pop_back();
    highs.push_back({ sustained, now });
    while (now - highs.front().at > m_times.memory)
        highs.pop_front();
    return highs.front().needed;
}

BorrowingPlanner::Standing BorrowingPlanner::standingOf(const PoolLoad& load, TimePoint now)
{
    auto& history = m_histories[load.pool];
    const double sustained = sustainedNeed(history, load.needed, now);
    const double peak = recentPeak(history, sustained, now);
    return { &load, sustained, peak, load.serving + load.arriving, load.serving, load.mayGive, load.mayTake };
}

/// Time of VMs that one more would give to work that now waits.
double BorrowingPlanner::gainOf(const Standing& pool) const
{
    if (pool.mayTake == 0)
        return 0;
    const double missing = std::min(1.0, pool.sustained - pool.have);
    return missing * secondsOf(m_times.expectedStay - m_times.moveTime);
}

/// Time of VMs that one less would take from the pool's work, and the cost of moving.
double BorrowingPlanner::lossOf(const Standing& pool) const
{
    const double price = secondsOf(m_times.moveTime + m_times.movePrice);
    const double missingSoon = std::clamp(pool.peak - (pool.serving - 1.0), 0.0, 1.0);
    return price + missingSoon * secondsOf(m_times.expectedStay);
}

std::vector<PoolTransfer> BorrowingPlanner::decide(const std::vector<PoolLoad>& loads, TimePoint now)
{
    std::vector<Standing> pools;
    pools.reserve(loads.size());
    for (const auto& load : loads)
        pools.push_back(standingOf(load, now));
    std::vector<PoolTransfer> transfers;
    const auto gains = [&](const Standing& left, const Standing& right) { return gainOf(left) < gainOf(right); };
    const auto givesBetter = [&](const Standing& left, const Standing& right) {
        const auto rank = [&](const Standing& pool) {
            const bool canGive = pool.mayGive > 0 && pool.serving > pool.load->reserve;
            return std::tuple { !canGive, lossOf(pool), pool.peak - pool.serving };
        };
        return rank(left) < rank(right);
    };
    while (!pools.empty()) {
        auto& taker = *std::max_element(pools.begin(), pools.end(), gains);
        auto& giver = *std::min_element(pools.begin(), pools.end(), givesBetter);
        const bool canGive = giver.mayGive > 0 && giver.serving > giver.load->reserve;
        if (!canGive || &giver == &taker || gainOf(taker) <= lossOf(giver))
            return transfers;
        transfers.push_back({ giver.load->pool, taker.load->pool });
        giver.have--;
        giver.serving--;
        giver.mayGive--;
        taker.have++;
        taker.mayTake--;
    }
    return transfers;
}

std::vector<PoolLoad> loadsOf(const FleetSnapshot& snapshot, const std::map<PoolId, double>& needs)
{
    const auto& borrowing = snapshot.borrowing;
    const std::uint32_t shared = borrowing.total - std::min(borrowing.inUse, borrowing.total);
    std::map<PoolId, std::uint32_t> arriving;
    for (const auto& [id, vm] : snapshot.vms) {
        const bool isOnItsWay = vm.phase == VmPhase::Draining && !vm.targetPool.isEmpty();
        if (isOnItsWay)
            arriving[vm.targetPool]++;
        if (vm.phase == VmPhase::Returning)
            arriving[vm.pool]++;
    }
    std::vector<PoolLoad> loads;
    for (const auto& [id, pool] : snapshot.pools) {
        PoolLoad load { id };
        const auto need = needs.find(id);
        load.needed = need == needs.end() ? 0 : need->second;
        load.serving = pool.counts.serving();
        load.arriving = arriving[id];
        load.reserve = pool.settings.floor;
        const auto lendable = pool.settings.mayLend - std::min(pool.counts.lent, pool.settings.mayLend);
        const auto borrowable = pool.settings.mayBorrow - std::min(pool.counts.borrowed, pool.settings.mayBorrow);
        load.mayGive = std::min(lendable, shared) + pool.counts.borrowed;
        load.mayTake = std::min(borrowable, shared) + pool.counts.lent;
        loads.push_back(std::move(load));
    }
    return loads;
}

std::optional<MoveWish> chooseVm(const FleetSnapshot& snapshot, const PoolTransfer& transfer)
{
    std::map<std::string, std::uint32_t> servingByDomain;
    const auto isCandidate
        = [&](const VmRecord& vm) { return vm.pool == transfer.from && vm.phase == VmPhase::Serving; };
    for (const auto& [id, vm] : snapshot.vms) {
        if (isCandidate(vm))
            servingByDomain[domainOf(vm, FailureDomain::Rack)]++;
    }
    const VmRecord* best = nullptr;
    const auto rank = [&](const VmRecord& vm) {
        return std::tuple { vm.homePool == transfer.to, isAway(vm),
            servingByDomain[domainOf(vm, FailureDomain::Rack)] };
    };
    for (const auto& [id, vm] : snapshot.vms) {
        if (isCandidate(vm) && (!best || rank(vm) > rank(*best)))
            best = &vm;
    }
    if (!best)
        return std::nullopt;
    return MoveWish { best->id, transfer.to };
}

} // namespace rattanrack::policy
