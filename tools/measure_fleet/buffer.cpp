#include "measure_fleet/buffer.h"

#include "rattanrack/policy/fleet_borrowing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rattanrack::measure {

using namespace policy;

namespace {

constexpr std::size_t moveSamples = 6; ///< Samples for which a moving VM serves nobody.
constexpr double worthwhile = 90; ///< Least shortage that the oracle moves for, in seconds of one VM.

/// VMs by place: their pool now, and when they are back from a move.
class Fleet {
public:
    Fleet(const FleetSize& size, const Demand& demand, std::uint32_t vms)
        : m_size(&size)
        , m_demand(&demand)
        , m_pool(vms)
        , m_backAt(vms, 0)
        , m_serving(size.pools, 0)
        , m_arriving(size.pools, 0)
    {
        for (std::uint32_t vm = 0; vm < vms; ++vm)
            m_pool[vm] = vm % size.pools;
    }

    /// Counts what serves at `sample` and what work it leaves unserved.
    void enter(std::size_t sample)
    {
        m_sample = sample;
        std::fill(m_serving.begin(), m_serving.end(), 0);
        std::fill(m_arriving.begin(), m_arriving.end(), 0);
        for (std::uint32_t vm = 0; vm < m_pool.size(); ++vm) {
            if (m_backAt[vm] > sample)
                m_arriving[m_pool[vm]]++;
            else if (isUp(vm))
                m_serving[m_pool[vm]]++;
        }
        for (std::uint32_t pool = 0; pool < m_size->pools; ++pool) {
            if (m_demand->flooding[sample] == pool)
                continue;
            const double needed = m_demand->sustained[pool][sample];
            m_needed += needed;
            m_served += std::min(needed, static_cast<double>(m_serving[pool]));
        }
    }

    bool move(std::uint32_t from, std::uint32_t to)
    {
        for (std::uint32_t vm = 0; vm < m_pool.size(); ++vm) {
            if (m_pool[vm] != from || m_backAt[vm] > m_sample || !isUp(vm))
                continue;
            m_pool[vm] = to;
            m_backAt[vm] = m_sample + moveSamples;
            m_serving[from]--;
            m_arriving[to]++;
            m_moves++;
            return true;
        }
        return false;
    }

    std::uint32_t serving(std::uint32_t pool) const { return m_serving[pool]; }
    std::uint32_t arriving(std::uint32_t pool) const { return m_arriving[pool]; }

    BufferFigures figures() const
    {
        const double mean = std::accumulate(m_demand->mean.begin(), m_demand->mean.end(), 0.0);
        const auto vms = static_cast<std::uint32_t>(m_pool.size());
        return { vms, vms - mean, m_served / m_needed, m_moves / static_cast<double>(Demand::days) };
    }

private:
    bool isUp(std::uint32_t vm) const { return vm / m_size->vmsPerRack != m_demand->lostRack[m_sample]; }

    const FleetSize* m_size;
    const Demand* m_demand;
    std::vector<std::uint32_t> m_pool;
    std::vector<std::size_t> m_backAt;
    std::vector<std::uint32_t> m_serving;
    std::vector<std::uint32_t> m_arriving;
    std::size_t m_sample { 0 };
    std::uint64_t m_moves { 0 };
    double m_needed { 0 };
    double m_served { 0 };
};

std::vector<PoolId> poolIds(const FleetSize& size)
{
    std::vector<PoolId> ids;
    for (std::uint32_t pool = 0; pool < size.pools; ++pool)
        ids.emplace_back(std::to_string(pool));
    return ids;
}

std::vector<PoolLoad> loadsAt(
    const Fleet& fleet, const Demand& demand, std::size_t sample, const std::vector<PoolId>& ids)
{
    std::vector<PoolLoad> loads;
    loads.reserve(ids.size());
    for (std::uint32_t pool = 0; pool < ids.size(); ++pool) {
        const double needed = demand.seen(sample, pool);
        loads.push_back({ ids[pool], needed, fleet.serving(pool), fleet.arriving(pool), 1, UINT32_MAX, UINT32_MAX });
    }
    return loads;
}

/// What the oracle may look up.
class Foresight {
public:
    Foresight(const Demand& demand, std::size_t sample)
        : m_demand(&demand)
        , m_sample(sample)
    {
    }

    /// Work that `have` VMs leave unserved until the pool's need next changes, in seconds of one VM, at most one VM's.
    double shortage(std::uint32_t pool, std::uint32_t have) const
    {
        const auto& needs = m_demand->sustained[pool];
        const std::size_t arrival = std::min(m_sample + moveSamples, Demand::samples - 1);
        const double missing = std::clamp(needs[arrival] - static_cast<double>(have), 0.0, 1.0);
        if (missing <= 0)
            return 0;
        std::size_t end = arrival;
        while (end < Demand::samples && needs[end] > static_cast<float>(have))
            ++end;
        const std::chrono::duration<double> lasting = (end - arrival) * Demand::interval;
        return missing * lasting.count();
    }

    /// When the pool will next need all of `have` VMs.
    std::size_t nextNeedOf(std::uint32_t pool, std::uint32_t have) const
    {
        const auto& needs = m_demand->sustained[pool];
        std::size_t sample = m_sample;
        while (sample < Demand::samples && needs[sample] <= static_cast<float>(have) - 1)
            ++sample;
        return sample;
    }

private:
    const Demand* m_demand;
    std::size_t m_sample;
};

void moveWithForesight(Fleet& fleet, const FleetSize& size, const Demand& demand, std::size_t sample)
{
    const Foresight foresight { demand, sample };
    for (std::uint32_t taker = 0; taker < size.pools; ++taker) {
        while (foresight.shortage(taker, fleet.serving(taker) + fleet.arriving(taker)) > worthwhile) {
            std::uint32_t best = taker;
            std::size_t latest = sample + moveSamples;
            for (std::uint32_t giver = 0; giver < size.pools; ++giver) {
                if (giver == taker || fleet.serving(giver) <= 1)
                    continue;
                const auto need = foresight.nextNeedOf(giver, fleet.serving(giver));
                if (need <= latest)
                    continue;
                latest = need;
                best = giver;
            }
            if (best == taker || !fleet.move(best, taker))
                break;
        }
    }
}

} // namespace

BufferFigures runStatic(const FleetSize& size, const Demand& demand, std::uint32_t vms)
{
    Fleet fleet { size, demand, vms };
    for (std::size_t sample = 0; sample < Demand::samples; ++sample)
        fleet.enter(sample);
    return fleet.figures();
}

BufferFigures runBorrowing(const FleetSize& size, const Demand& demand, std::uint32_t vms)
{
    Fleet fleet { size, demand, vms };
    BorrowingPlanner planner;
    const auto ids = poolIds(size);
    for (std::size_t sample = 0; sample < Demand::samples; ++sample) {
        fleet.enter(sample);
        const TimePoint now = TimePoint {} + std::chrono::hours { 1 } + Demand::interval * sample;
        for (const auto& transfer : planner.decide(loadsAt(fleet, demand, sample, ids), now))
            fleet.move(static_cast<std::uint32_t>(std::stoul(transfer.from.value())),
                static_cast<std::uint32_t>(std::stoul(transfer.to.value())));
    }
    return fleet.figures();
}

BufferFigures runOracle(const FleetSize& size, const Demand& demand, std::uint32_t vms)
{
    Fleet fleet { size, demand, vms };
    for (std::size_t sample = 0; sample < Demand::samples; ++sample) {
        fleet.enter(sample);
        moveWithForesight(fleet, size, demand, sample);
    }
    return fleet.figures();
}

BufferFigures fewestVms(const BufferPolicy& policy, const FleetSize& size, const Demand& demand, double kept)
{
    std::uint32_t low = size.pools;
    std::uint32_t high = size.vms * 2;
    while (low < high) {
        const std::uint32_t middle = (low + high) / 2;
        if (policy(size, demand, middle).kept >= kept)
            high = middle;
        else
            low = middle + 1;
    }
    return policy(size, demand, low);
}

} // namespace rattanrack::measure
