#pragma once

#include "rattanrack/base/time.h"

#include <map>
#include <utility>

#include "rattanrack/jobs/job.h"

namespace rattanrack::jobs {

/// Estimates the run times of the tasks of each queue from observed runs. Declared run times are off by a factor that
/// differs between queues, so an estimate combines the declared time and the queue's mean, weighted by how far each has
/// been off, on a logarithmic scale.
class RuntimeEstimator {
public:
    void observe(const QueueId& queue, Duration declared, Duration actual);

    /// Expected run time of one task; the declared one while too few runs of the queue have been observed.
    Duration estimate(const QueueId& queue, Duration declared) const;

private:
    struct QueueStatistics {
        int count { 0 };
        double meanLog { 0 }; ///< Of the actual time in microseconds.
        double varianceLog { 0 };
        double meanError { 0 }; ///< Of log(actual / declared).
        double varianceError { 0 };
    };
    std::map<QueueId, QueueStatistics> m_queues;
};

} // namespace rattanrack::jobs
