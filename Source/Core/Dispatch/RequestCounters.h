// Metrics of RequestService.
#pragma once

#include "Common/ErrorCode.h"
#include "Dispatch/RequestOutcome.h"

#include <unordered_map>

namespace Common {
class Metrics;
}

namespace prometheus { // NOLINT: the name that the library has
class Counter;
class Histogram;
}

namespace Dispatch {

class RequestCounters {
public:
    explicit RequestCounters(Common::Metrics&);

    /// Counts the outcome; for answers, also records the time since arrival, in seconds.
    void countOutcome(const RequestOutcome&, double seconds);

    prometheus::Counter& attempts;
    prometheus::Counter& retries;
    prometheus::Counter& joined;
    prometheus::Counter& forwarded;
    prometheus::Counter& cancelled;

private:
    prometheus::Counter& reason(const char* outcome, Common::ErrorCode);

    Common::Metrics& m_metrics;
    prometheus::Counter& m_answered;
    prometheus::Histogram& m_answerSeconds;
    std::unordered_map<int, prometheus::Counter*> m_notRun;
    std::unordered_map<int, prometheus::Counter*> m_unknown;
};

} // namespace Dispatch
