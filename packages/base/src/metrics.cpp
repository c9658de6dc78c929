#include "rattanrack/base/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <limits>
#include <map>
#include <mutex>
#include <sstream>

namespace rattanrack {

namespace {

namespace accumulators = boost::accumulators;

using QuantileAccumulator
    = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::p_square_quantile>>;
using TotalAccumulator
    = accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;

constexpr double medianProbability = 0.5;
constexpr double tailProbability = 0.99;

struct Summary {
    TotalAccumulator total;
    QuantileAccumulator median { accumulators::quantile_probability = medianProbability };
    QuantileAccumulator tail { accumulators::quantile_probability = tailProbability };
};

std::string escaped(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n')
            text += "\\n";
        else if (c == '"' || c == '\\')
            (text += '\\') += c;
        else
            text += c;
    }
    return text;
}

std::string seriesName(const std::string& name, const MetricLabels& labels, const std::string& extra = {})
{
    std::string text;
    for (const MetricLabel& label : labels)
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escaped(label.value) + '"';
    if (!extra.empty())
        text += (text.empty() ? "" : ",") + extra;
    return text.empty() ? name : name + '{' + text + '}';
}

struct SummarySeries {
    std::string name;
    MetricLabels labels;
    Summary summary;
};

} // namespace

struct Metrics::State {
    mutable std::mutex mutex;
    std::map<std::string, double> values;
    std::map<std::string, SummarySeries> summaries;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::increment(const std::string& name, const MetricLabels& labels, double amount)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->values[seriesName(name, labels)] += amount;
}

void Metrics::setGauge(const std::string& name, const MetricLabels& labels, double value)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->values[seriesName(name, labels)] = value;
}

void Metrics::observe(const std::string& name, const MetricLabels& labels, double value)
{
    const std::lock_guard lock(m_state->mutex);
    SummarySeries& series = m_state->summaries[seriesName(name, labels)];
    series.name = name;
    series.labels = labels;
    series.summary.total(value);
    series.summary.median(value);
    series.summary.tail(value);
}

double Metrics::value(const std::string& name, const MetricLabels& labels) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->values.find(seriesName(name, labels));
    return found == m_state->values.end() ? 0 : found->second;
}

std::string Metrics::exposition() const
{
    const std::lock_guard lock(m_state->mutex);
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    for (const auto& [series, value] : m_state->values)
        out << series << ' ' << value << '\n';
    for (const auto& [key, series] : m_state->summaries) {
        const Summary& summary = series.summary;
        out << seriesName(series.name, series.labels, "quantile=\"0.5\"") << ' '
            << accumulators::p_square_quantile(summary.median) << '\n';
        out << seriesName(series.name, series.labels, "quantile=\"0.99\"") << ' '
            << accumulators::p_square_quantile(summary.tail) << '\n';
        out << seriesName(series.name + "_sum", series.labels) << ' ' << accumulators::sum(summary.total) << '\n';
        out << seriesName(series.name + "_count", series.labels) << ' ' << accumulators::count(summary.total) << '\n';
    }
    return out.str();
}

} // namespace rattanrack
