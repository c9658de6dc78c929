#pragma once

#include "rattanrack/base/time.h"

#include <map>
#include <utility>

#include "rattanrack/jobs/job.h"

namespace rattanrack::jobs {

/// Learns how long the subtasks of each queue run. Declared times are off by a factor of their own, so an estimate
/// weighs the declared time against the queue's mean by how far each has been off, on a logarithmic scale.
class RuntimeEstimator {
public:
    void observe(const QueueId& queue, Duration declared, Duration actual);

    /// Expected run time of one subtask. The declared one while little is known of the queue.
    Duration estimate(const QueueId& queue, Duration declared) const;

private:
    struct Learned {
        int count { 0 };
        double meanLog { 0 }; ///< Of the actual time in microseconds.
        double varianceLog { 0 };
        double meanError { 0 }; ///< Of log(actual / declared).
        double varianceError { 0 };
    };
    std::map<QueueId, Learned> m_queues;
};

} // namespace rattanrack::jobs
