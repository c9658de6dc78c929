#include "rattanrack/jobs/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace rattanrack::jobs {

namespace {

constexpr int enoughRuns = 8;
constexpr double slowestLearning = 0.02; ///< Weight of one run among many.
constexpr double leastVariance = 0.01;

/// Moves a mean and a variance towards one more value.
void learn(double& mean, double& variance, double value, double weight)
{
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

double logOf(Duration duration) { return std::log(static_cast<double>(std::max<std::int64_t>(duration.count(), 1))); }

} // namespace

void RuntimeEstimator::observe(const QueueId& queue, Duration declared, Duration actual)
{
    Learned& learned = m_queues[queue];
    ++learned.count;
    const double weight = std::max(1.0 / learned.count, slowestLearning);
    learn(learned.meanLog, learned.varianceLog, logOf(actual), weight);
    learn(learned.meanError, learned.varianceError, logOf(actual) - logOf(declared), weight);
}

Duration RuntimeEstimator::estimate(const QueueId& queue, Duration declared) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.count < enoughRuns)
        return declared;
    const Learned& learned = found->second;
    const double spread = std::max(learned.varianceLog, leastVariance);
    const double error = std::max(learned.varianceError, leastVariance);
    const double weight = spread / (spread + error);
    const double expected = weight * (logOf(declared) + learned.meanError) + (1 - weight) * learned.meanLog;
    return Duration { static_cast<std::int64_t>(std::exp(expected)) };
}

} // namespace rattanrack::jobs
