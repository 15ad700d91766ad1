// The process's counters, gauges and histograms, kept by prometheus-cpp.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace Common {

/// Names start with "lavendercart_". A metric lives as long as the process: ask once and keep the reference.
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
    /// Buckets for seconds from one millisecond to half a minute.
    prometheus::Histogram& latencyHistogram(
        const std::string& name, const std::string& help, const Labels& labels = {});
    /// The Prometheus text format.
    std::string toPrometheusText() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace Common
