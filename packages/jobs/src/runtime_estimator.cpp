#include "rattanrack/jobs/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::jobs {

namespace {

constexpr int minRuns = 8;
constexpr double minWeight = 0.02; ///< Weight of a new run once many have been observed.
constexpr double minVariance = 0.01;

/// Updates an exponentially weighted mean and variance with one more value.
void updateMoments(double& mean, double& variance, double value, double weight)
{
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

double logOf(Duration duration) { return std::log(static_cast<double>(std::max<std::int64_t>(duration.count(), 1))); }

} // namespace

void RuntimeEstimator::observe(const QueueId& queue, Duration declared, Duration actual)
{
    QueueStatistics& statistics = m_queues[queue];
    ++statistics.count;
    const double weight = std::max(1.0 / statistics.count, minWeight);
    updateMoments(statistics.meanLog, statistics.varianceLog, logOf(actual), weight);
    updateMoments(statistics.meanError, statistics.varianceError, logOf(actual) - logOf(declared), weight);
}

Duration RuntimeEstimator::estimate(const QueueId& queue, Duration declared) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.count < minRuns)
        return declared;
    const QueueStatistics& statistics = found->second;
    const double spread = std::max(statistics.varianceLog, minVariance);
    const double error = std::max(statistics.varianceError, minVariance);
    const double weight = spread / (spread + error);
    const double expected = weight * (logOf(declared) + statistics.meanError) + (1 - weight) * statistics.meanLog;
    return Duration { static_cast<std::int64_t>(std::exp(expected)) };
}

} // namespace rattanrack::jobs
