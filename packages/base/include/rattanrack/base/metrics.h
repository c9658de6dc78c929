#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace rattanrack {

/// One label of a metric. Labels are printed in the order of MetricLabels.
struct MetricLabel {
    std::string name;
    std::string value;
};
using MetricLabels = std::vector<MetricLabel>;

/// Counters, gauges and latency summaries of one process. Thread-safe.
///
///     metrics.increment("rattanrack_requests_total", { { "pool", "office" } });
///     metrics.observe("rattanrack_request_seconds", { { "pool", "office" } }, 0.012);
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void increment(const std::string& name, const MetricLabels& labels = {}, double amount = 1);
    void setGauge(const std::string& name, const MetricLabels& labels, double value);

    /// Adds one observation to a summary that keeps count, sum and the 0.5 and 0.99 quantiles.
    void observe(const std::string& name, const MetricLabels& labels, double value);

    /// Returns the value of a counter or gauge; 0 if it has never been set.
    double value(const std::string& name, const MetricLabels& labels = {}) const;

    /// Returns all metrics in the Prometheus text format: counters and gauges, then summaries, each sorted by name and
    /// labels.
    std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack
