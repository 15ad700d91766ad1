// Serves callers' job calls: finds the route, passes the call to the job gateway and answers. EntryProcess owns it.
#pragma once

#include "Cells/ConfigFollower.h"
#include "Cells/JobGateway.h"
#include "Common/Metrics.h"
#include "Http/Server.h"
#include "Scheduler/Runtime.h"
#include "platform/JobCalls.h"

#include <cstdint>
#include <string>

namespace Entry {

class JobApi {
public:
    JobApi(Scheduler::Runtime&, Cells::JobGateway&, Cells::ConfigFollower&, Common::Metrics&);

    /// Answers every call once, now or later; failures are answered too.
    void serve(const Http::Request&, const Http::Server::Responder&);
    /// Number of calls that have no answer yet.
    size_t underWay() const { return m_underWay; }

private:
    struct Call;

    void dispatch(const std::shared_ptr<Call>&, Platform::JobCall&&, const Cells::JobRoute&);
    void submit(const std::shared_ptr<Call>&, Platform::SubmitCall&&, const Cells::JobRoute&);
    void answer(const std::shared_ptr<Call>&, Http::Response, const char* outcome);
    prometheus::Histogram& secondsOf(const std::string& method) const;
    void fail(const std::shared_ptr<Call>&, const Common::Failure&);

    Scheduler::Runtime& m_runtime;
    Cells::JobGateway& m_jobGateway;
    Cells::ConfigFollower& m_config;
    Common::Metrics& m_metrics;
    prometheus::Histogram& m_submitSeconds;
    prometheus::Histogram& m_cancelSeconds;
    prometheus::Histogram& m_otherSeconds;
    size_t m_underWay = 0;
};

} // namespace Entry
