// The process's counters, gauges and histograms, backed by prometheus-cpp.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace Common {

/// Metric names start with "lavendercart_". The returned references stay valid as long as this object; look each metric
/// up once and keep the reference.
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
    /// Observations are in seconds; the buckets range from 1 ms to 30 s.
    prometheus::Histogram& latencyHistogram(
        const std::string& name, const std::string& help, const Labels& labels = {});
    /// All metrics in the Prometheus text format.
    std::string toPrometheusText() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace Common
