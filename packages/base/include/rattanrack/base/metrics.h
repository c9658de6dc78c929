#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace rattanrack {

/// Labels of a metric, in the order in which they are printed.
struct MetricLabel {
    std::string name;
    std::string value;
};
using MetricLabels = std::vector<MetricLabel>;

/// Counters, gauges and latency summaries of one process. Safe from every thread.
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

    /// The value of a counter or gauge; 0 when it has never been touched.
    double value(const std::string& name, const MetricLabels& labels = {}) const;

    /// Everything in the text format that monitoring systems scrape, sorted by name and labels.
    std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace rattanrack
