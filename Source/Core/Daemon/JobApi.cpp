// Calls for batch jobs.
#include "Daemon/JobApi.h"

#include "Daemon/Node.h"
#include "Daemon/RouteTable.h"
#include "Ledger/JobStatus.h"
#include "Ledger/JobSubmission.h"

#include <nlohmann/json.hpp>

namespace Daemon {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    constexpr uint64_t defaultListLimit = 100;
    constexpr uint64_t maximumListLimit = 10000;
    constexpr size_t maximumCancelledAtOnce = 10000;
    constexpr Common::Duration submitRetryAfter = std::chrono::seconds(1);

    json jobToJson(const Ledger::JobStatus& status)
    {
        json job = Ledger::toJson(status);
        const auto failed = std::count_if(status.attempts.begin(), status.attempts.end(),
            [](const Ledger::JobAttempt& attempt) { return attempt.end == Ledger::AttemptEnd::Failed; });
        job["id"] = status.job.value();
        job["attempt"] = status.attempts.empty() ? 0 : status.attempts.back().number.value;
        job["worker"] = status.attempts.empty() ? "" : status.attempts.back().worker.value();
        job["failures"] = failed;
        job["reason"] = status.detail;
        job["submittedAtMs"] = status.submittedAtMilliseconds;
        job["endedAtMs"] = status.endedAtMilliseconds;
        return job;
    }

} // namespace

JobApi::JobApi(Node& node)
    : m_node(node)
{
}

void JobApi::addRoutes(RouteTable& routes)
{
    routes.add("POST", "/v1/jobs", [this](const ApiCall& call, const ApiReply& reply) { submit(call, reply); });
    routes.add("GET", "/v1/jobs", [this](const ApiCall& call, const ApiReply& reply) { list(call, reply); });
    routes.add(
        "POST", "/v1/jobs/cancel", [this](const ApiCall& call, const ApiReply& reply) { cancelMany(call, reply); });
    routes.add("GET", "/v1/jobs/*",
        [this](const ApiCall& call, const ApiReply& reply) { replyWithJob(call.arguments.front(), 200, reply); });
    routes.add("DELETE", "/v1/jobs/*", [this](const ApiCall& call, const ApiReply& reply) { cancel(call, reply); });
}

void JobApi::submit(const ApiCall& call, const ApiReply& reply)
{
    const json body = parseBody(call.request);
    if (body.is_discarded()) {
        reply(failureResponse({ ErrorCode::MalformedRequest, "the body is not JSON" }));
        return;
    }
    const Result<Ledger::JobSubmission> submission = Ledger::submissionFromJson(body);
    if (!submission) {
        reply(failureResponse(submission.reason()));
        return;
    }
    m_node.jobs().submit(*submission, [this, reply](const Result<Ledger::JobService::Accepted>& accepted) {
        if (!accepted) {
            Failure withRetryTime = accepted.reason();
            // A server error may pass; the client may submit again with the same key.
            if (!withRetryTime.retryAfter && Common::httpStatus(withRetryTime.code) >= 500)
                withRetryTime.retryAfter = submitRetryAfter;
            reply(failureResponse(withRetryTime));
        } else
            replyWithJob(accepted->job.value(), accepted->known ? 200 : 201, reply);
    });
}

void JobApi::replyWithJob(const std::string& id, int status, const ApiReply& reply)
{
    m_node.jobs().get(Common::JobId(id), [id, status, reply](const Result<Ledger::JobStatus>& job) {
        if (job)
            reply(jsonResponse(status, { { "job", jobToJson(*job) } }));
        else if (status == 201)
            // The job is accepted and durable; only the read of its state has failed.
            reply(jsonResponse(status, { { "job", { { "id", id }, { "state", "queued" } } } }));
        else
            reply(failureResponse(job.reason()));
    });
}

void JobApi::list(const ApiCall& call, const ApiReply& reply)
{
    Ledger::JobQuery query;
    query.team = Common::TeamName(queryParameter(call, "team"));
    const std::string state = queryParameter(call, "state");
    query.state = Ledger::jobStateFromName(state);
    if (!state.empty() && !query.state) {
        reply(failureResponse({ ErrorCode::MalformedRequest, "unknown job state " + state }));
        return;
    }
    query.limit = static_cast<uint32_t>(std::min(queryNumber(call, "limit", defaultListLimit), maximumListLimit));
    m_node.jobs().list(query, [reply, limit = query.limit](const Result<std::vector<Ledger::JobStatus>>& jobs) {
        if (!jobs) {
            reply(failureResponse(jobs.reason()));
            return;
        }
        json rows = json::array();
        for (const Ledger::JobStatus& job : *jobs)
            rows.push_back(jobToJson(job));
        reply(jsonResponse(200, { { "jobs", rows }, { "truncated", jobs->size() >= limit } }));
    });
}

void JobApi::cancel(const ApiCall& call, const ApiReply& reply)
{
    const std::string id = call.arguments.front();
    m_node.jobs().cancel(Common::JobId(id), [this, id, reply](const Result<Common::Done>& done) {
        if (done)
            replyWithJob(id, 200, reply);
        else
            reply(failureResponse(done.reason()));
    });
}

void JobApi::cancelMany(const ApiCall& call, const ApiReply& reply)
{
    const json body = parseBody(call.request);
    const auto ids = body.is_object() ? body.find("ids") : body.end();
    if (!body.is_object() || ids == body.end() || !ids->is_array() || ids->size() > maximumCancelledAtOnce) {
        reply(failureResponse({ ErrorCode::MalformedRequest, "\"ids\" must be an array of at most 10000 job ids" }));
        return;
    }
    std::vector<Common::JobId> jobs;
    for (const json& id : *ids)
        jobs.emplace_back(id.is_string() ? id.get<std::string>() : id.dump());
    m_node.jobs().cancelMany(jobs, [reply](const Result<std::vector<Ledger::JobGateway::CancelResult>>& results) {
        if (!results) {
            reply(failureResponse(results.reason()));
            return;
        }
        json rows = json::array();
        for (const Ledger::JobGateway::CancelResult& result : *results) {
            const auto outcome = result.failure ? Common::errorName(result.failure->code) : "cancelled";
            rows.push_back({ { "id", result.job.value() }, { "outcome", outcome } });
        }
        reply(jsonResponse(200, { { "results", rows } }));
    });
}

} // namespace Daemon
