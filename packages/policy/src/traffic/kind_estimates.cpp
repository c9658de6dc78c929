#include "traffic/kind_estimates.h"

#include <algorithm>

namespace rattanrack::policy {

namespace {

constexpr std::uint32_t minSamples = 5;
constexpr std::uint32_t memorySamples = 32;

void addSample(double& mean, std::uint32_t& samples, double value)
{
    samples = std::min(samples + 1, memorySamples);
    mean += (value - mean) / samples;
}

} // namespace

void KindEstimates::recordRunTime(const WorkKind& kind, Duration runTime)
{
    auto& estimate = m_kinds[kind];
    addSample(estimate.meanSeconds, estimate.runs, std::chrono::duration<double>(runTime).count());
}

void KindEstimates::recordUsage(const WorkKind& kind, const ResourceSize& used)
{
    auto& estimate = m_kinds[kind];
    auto samples = estimate.reports;
    addSample(estimate.meanMillicores, samples, static_cast<double>(used.processors.count()));
    addSample(estimate.meanMebibytes, estimate.reports, static_cast<double>(used.memory.count()));
}

std::optional<Duration> KindEstimates::runTime(const WorkKind& kind) const
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.runs < minSamples)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(found->second.meanSeconds));
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
