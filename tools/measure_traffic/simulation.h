#pragma once

#include "workload.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanrack::measure {

/// A policy that is told the workers' reports, in place of credits.
class ReportReader {
public:
    virtual ~ReportReader() = default;

    /// `busy` slots of a worker as they were at `asOf`.
    virtual void report(const VmId&, std::int64_t busy, TimePoint asOf) = 0;
};

using PolicyFactory = std::function<std::unique_ptr<policy::TrafficPolicy>(std::size_t node)>;

enum class WorkerFault { FailsFast, IsGone };

struct FaultSpan {
    VmId worker;
    WorkerFault fault { WorkerFault::FailsFast };
    TimePoint from;
    TimePoint until;
};

/// How a run is set up beyond its workload.
struct Setting {
    PolicyFactory factory;
    Duration messageDelay { 1'500 };
    bool hasHomes { true };
    std::vector<FaultSpan> faults;
    std::optional<std::size_t> dyingNode; ///< Loses everything at `dyingAt`; others learn it and the new homes later.
    TimePoint dyingAt;
};

/// What became of one request.
struct Fate {
    const Arrival* arrival { nullptr };
    std::uint32_t dispatches { 0 };
    std::uint32_t starts { 0 };
    std::uint32_t finals { 0 }; ///< Final decisions; exactly one is right.
    std::optional<TimePoint> started; ///< First start on a worker.
    std::optional<TimePoint> answered;
    std::optional<policy::NotRunReason> reason;
    bool isCompleted { false };

    bool isUseful() const { return isCompleted && answered && *answered <= arrival->spec.deadline.at(); }
    Duration wait() const { return started ? *started - arrival->at : Duration::max(); }
};

/// Counts of one pool.
struct PoolCounts {
    double idleWhileWaiting { 0 }; ///< Slot seconds, at most one for each waiting request.
    double waitingTime { 0 }; ///< Seconds in which something waited.
    std::uint64_t dispatches { 0 };
    std::uint64_t refusals { 0 };
    std::uint64_t retries { 0 };
};

struct Result {
    std::vector<Fate> fates; ///< In order of arrival.
    std::map<PoolId, PoolCounts> pools;
    std::uint64_t creditMessages { 0 };
    std::uint64_t creditBytes { 0 }; ///< Estimate: ids and counts as they stand in the messages.
};

/// Runs a workload in virtual time.
Result simulate(const Workload&, const Setting&);

/// Quantile of the waits of requests that started, `share` from 0 to 1; in milliseconds.
double waitQuantile(const Result&, double share, const std::function<bool(const Fate&)>& isCounted);

} // namespace rattanrack::measure
