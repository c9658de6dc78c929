#include "traffic/kind_estimates.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::policy {

namespace {

constexpr std::uint32_t minSamples = 5;
constexpr std::uint32_t memorySamples = 32;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void addSample(double& mean, std::uint32_t& samples, double value)
{
    samples = std::min(samples + 1, memorySamples);
    mean += (value - mean) / samples;
}

} // namespace

void KindEstimates::recordRunTime(const WorkKind& kind, Duration runTime)
{
    auto& estimate = m_kinds[kind];
    const double seconds = std::chrono::duration<double>(runTime).count();
    auto samples = estimate.runs;
    addSample(estimate.meanSeconds, samples, seconds);
    addSample(estimate.meanSquare, estimate.runs, seconds * seconds);
}

void KindEstimates::recordUsage(const WorkKind& kind, const ResourceSize& used)
{
    auto& estimate = m_kinds[kind];
    auto samples = estimate.reports;
    addSample(estimate.meanMillicores, samples, static_cast<double>(used.processors.count()));
    addSample(estimate.meanMebibytes, estimate.reports, static_cast<double>(used.memory.count()));
}

std::optional<KindEstimates::RunTime> KindEstimates::runTime(const WorkKind& kind) const
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.runs < minSamples)
        return std::nullopt;
    const auto& estimate = found->second;
    const double variance = estimate.meanSquare - estimate.meanSeconds * estimate.meanSeconds;
    return RunTime { fromSeconds(estimate.meanSeconds), fromSeconds(std::sqrt(std::max(variance, 0.0))) };
}

ResourceSize KindEstimates::size(const WorkKind& kind, const ResourceSize& declared) const
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.reports < minSamples)
        return declared;
    const auto& estimate = found->second;
    return { std::max(declared.processors, Millicores { static_cast<std::int64_t>(estimate.meanMillicores) }),
        std::max(declared.memory, Mebibytes { static_cast<std::int64_t>(estimate.meanMebibytes) }),
        declared.accelerators };
}

} // namespace rattanrack::policy
