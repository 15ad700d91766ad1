// Metrics backed by prometheus-cpp.
#include "Common/Metrics.h"

#include <prometheus/text_serializer.h>

namespace Common {

namespace {

    const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
        0.5, 1, 2.5, 5, 10, 30 };

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram& Metrics::latencyHistogram(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add(labels, secondsBuckets);
}

std::string Metrics::toPrometheusText() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

} // namespace Common
