#include "load_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace rattanrack::cli {

namespace {

using Seconds = std::chrono::duration<double>;

/// How long before a wave a request must have arrived to be caught by it.
constexpr Duration waveReach = std::chrono::seconds { 2 };

/// The stand-in workers read the true run time from the payload.
std::string payloadOf(const std::string& name, std::chrono::duration<double, std::micro> trueRunTime)
{
    const auto wholeMilliseconds = std::max(1LL, std::llround(trueRunTime.count() / 1000));
    return R"({"id":")" + name + R"(","trueRunTimeMs":)" + std::to_string(wholeMilliseconds) + "}";
}

class Planner {
public:
    Planner(const LoadProfile& profile, std::uint64_t seed, std::string runName)
        : m_profile(profile)
        , m_runName(std::move(runName))
        , m_random(seed)
    {
        for (const RequestMix& mix : profile.mix) {
            m_totalWeight += mix.weight;
            if (std::find(m_pools.begin(), m_pools.end(), mix.pool) == m_pools.end())
                m_pools.push_back(mix.pool);
        }
    }

    LoadPlan plan()
    {
        for (std::size_t mix = 0; mix < m_profile.mix.size(); ++mix)
            planMix(mix);
        std::stable_sort(m_plan.calls.begin(), m_plan.calls.end(),
            [](const PlannedCall& left, const PlannedCall& right) { return left.at < right.at; });
        return std::move(m_plan);
    }

private:
    /// Draws arrivals at the highest rate and keeps each with the probability that the rate of its moment has to it.
    void planMix(std::size_t index)
    {
        const RequestMix& mix = m_profile.mix[index];
        const double mean = m_profile.ratePerSecond * mix.weight / m_totalWeight;
        const double highest = mean * m_profile.bursts.factor;
        std::exponential_distribution<double> gap { highest };
        double now = gap(m_random);
        while (now < Seconds { m_profile.duration }.count()) {
            const auto at = std::chrono::duration_cast<Duration>(Seconds { now });
            if (isDrawn(mean * factorAt(mix.pool, at) / highest))
                planRequest(index, at);
            now += gap(m_random);
        }
    }

    double factorAt(const PoolId& pool, Duration at) const
    {
        const auto turn = static_cast<std::size_t>(at / m_profile.bursts.length);
        return m_pools[turn % m_pools.size()] == pool ? m_profile.bursts.factor : m_profile.bursts.quietFactor;
    }

    void planRequest(std::size_t mixIndex, Duration at)
    {
        const RequestMix& mix = m_profile.mix[mixIndex];
        const std::size_t index = m_plan.requests.size();
        const std::string name = m_runName + "-" + std::to_string(index);
        const std::string caller = mix.team.value() + "-" + std::to_string(index % mix.callers);
        const Duration runTime = drawRunTime(mix);
        m_plan.requests.push_back({ mixIndex, CallerId { caller }, IdempotencyKey { name },
            payloadOf(name, runTime * mix.trueRunTimeFactor), runTime });
        const std::size_t node = m_random();
        m_plan.calls.push_back({ at, index, node, drawCancellation(at) });
        if (isDrawn(m_profile.repeats.share))
            m_plan.calls.push_back({ at + m_profile.repeats.delay, index, node + 1, std::nullopt });
    }

    Duration drawRunTime(const RequestMix& mix)
    {
        // Log-normal with this spread has its mean at the wanted value.
        constexpr double sigma = 0.5;
        std::lognormal_distribution<double> factor { -sigma * sigma / 2, sigma };
        const auto drawn = std::chrono::duration_cast<Duration>(mix.runTime * factor(m_random));
        return std::max<Duration>(drawn, std::chrono::milliseconds { 1 });
    }

    std::optional<Duration> drawCancellation(Duration at)
    {
        const Cancellations& cancellations = m_profile.cancellations;
        const Duration nextWave = (at / cancellations.waveInterval + 1) * cancellations.waveInterval;
        if (nextWave - at <= waveReach && isDrawn(cancellations.waveShare))
            return nextWave;
        if (!isDrawn(cancellations.share))
            return std::nullopt;
        std::uniform_int_distribution<Duration::rep> wait { 0, waveReach.count() };
        return at + Duration { wait(m_random) };
    }

    bool isDrawn(double probability) { return std::uniform_real_distribution<double> {}(m_random) < probability; }

    const LoadProfile& m_profile;
    std::string m_runName;
    std::mt19937_64 m_random;
    double m_totalWeight { 0 };
    std::vector<PoolId> m_pools;
    LoadPlan m_plan;
};

} // namespace

LoadPlan planLoad(const LoadProfile& profile, std::uint64_t seed, const std::string& runName)
{
    return Planner { profile, seed, runName }.plan();
}

} // namespace rattanrack::cli
