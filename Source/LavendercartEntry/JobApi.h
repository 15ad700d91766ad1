// Serves callers' job calls: finds the route, passes the call to the job gateway and answers. EntryProcess owns it.
#pragma once

#include "Cells/ConfigFollower.h"
#include "Cells/JobGateway.h"
#include "Common/Lifetime.h"
#include "Common/Metrics.h"
#include "Common/Units.h"
#include "Http/Server.h"
#include "Scheduler/Runtime.h"
#include "platform/JobCalls.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Entry {

class JobApi {
public:
    JobApi(Scheduler::Runtime&, Cells::JobGateway&, Cells::ConfigFollower&, Common::Metrics&);

    /// Answers every call once, now or later; failures are answered too.
    void serve(const Http::Request&, const Http::Server::Responder&);
    /// Number of calls that have no answer yet.
    size_t underWay() const { return m_underWay.size(); }
    /// The process stops: calls that have no answer by this time, on the runtime's clock, get a final one then. A read
    /// fails with Draining; of other calls the outcome is unknown. Calls for which too little time is left are
    /// rejected with Draining before anything is done for them. To be called once.
    void answerAllBy(Common::MonotonicTime);
    /// On the runtime's clock; zero before the first answer.
    Common::MonotonicTime lastAnswerAt() const { return m_lastAnswerAt; }

private:
    struct Call;

    void dispatch(const std::shared_ptr<Call>&, Platform::JobCall&&, const Cells::JobRoute&);
    void submit(const std::shared_ptr<Call>&, Platform::SubmitCall&&, const Cells::JobRoute&);
    void answer(const std::shared_ptr<Call>&, Http::Response, const char* outcome);
    prometheus::Histogram& secondsOf(const std::string& method) const;
    void fail(const std::shared_ptr<Call>&, const Common::Failure&);
    void answerAll();

    Scheduler::Runtime& m_runtime;
    Cells::JobGateway& m_jobGateway;
    Cells::ConfigFollower& m_config;
    Common::Metrics& m_metrics;
    prometheus::Histogram& m_submitSeconds;
    prometheus::Histogram& m_cancelSeconds;
    prometheus::Histogram& m_otherSeconds;
    /// By number of the call, in the order of arrival. Invariant: holds exactly the calls that have no answer yet.
    std::map<uint64_t, std::shared_ptr<Call>> m_underWay;
    uint64_t m_calls = 0;
    Common::MonotonicTime m_lastAnswerAt {};
    /// See answerAllBy(); empty unless the process stops.
    std::optional<Common::MonotonicTime> m_answersEnd;
    Common::Lifetime m_lifetime;
};

} // namespace Entry
