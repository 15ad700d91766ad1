// `lavendercart request`
#include "Cli/Commands.h"
#include "Cli/HttpCall.h"
#include "Cli/Report.h"
#include "Cli/Session.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace Cli {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    constexpr Common::Duration defaultRequestTimeout = std::chrono::seconds(60);
    /// Extra wait after the request's deadline, for the daemon's answer that the deadline has passed.
    constexpr Common::Duration deadlineMargin = std::chrono::seconds(1);

    Common::Duration requestTimeout(const Options& options)
    {
        if (options.timeout)
            return *options.timeout;
        if (options.deadlineMilliseconds > 0)
            return std::chrono::milliseconds(options.deadlineMilliseconds) + deadlineMargin;
        return defaultRequestTimeout;
    }

    HttpCall requestCall(const Session& session, const std::string& id, std::string body)
    {
        const Options& options = session.options;
        HttpCall call { .method = "POST",
            .target = "/v1/services/" + percentEncoded(session.arguments.at(0)) + "/requests",
            .body = std::move(body),
            .timeout = requestTimeout(options),
            .repeatable = false };
        call.headers.emplace_back("X-Request-Id", id);
        call.headers.emplace_back(
            "Content-Type", options.contentType.empty() ? "application/octet-stream" : options.contentType);
        if (options.deadlineMilliseconds > 0)
            call.headers.emplace_back("X-Deadline-Ms", std::to_string(options.deadlineMilliseconds));
        if (!options.idempotent.empty())
            call.headers.emplace_back("X-Idempotent", options.idempotent);
        return call;
    }

    ExitCode exitCodeOfOutcome(const std::string& outcome)
    {
        if (outcome == "answer")
            return ExitCode::Success;
        return outcome == "not-run" ? ExitCode::NotRun : ExitCode::Unknown;
    }

    /// Prints the request's id, its outcome and the reason to standard error, and the answer to standard output; or all
    /// of it as JSON.
    ExitCode report(Session& session, const std::string& id, const std::string& outcome, const HttpReply& reply)
    {
        const ExitCode exitCode = exitCodeOfOutcome(outcome);
        const bool answered = exitCode == ExitCode::Success;
        if (session.options.json) {
            json result { { "requestId", id }, { "outcome", outcome }, { "status", reply.status } };
            if (answered)
                result["body"] = reply.body;
            else
                result["error"]
                    = { { "code", Common::errorName(failureOf(reply).code) }, { "message", failureOf(reply).detail } };
            printJson(session, result);
            return exitCode;
        }
        session.errors << "request " << id << ": " << outcome << "\n";
        if (answered)
            session.output << reply.body;
        else
            reportFailure(session, failureOf(reply));
        return exitCode;
    }

    ExitCode reportLost(Session& session, const std::string& id, const Failure& failure)
    {
        const bool notRun = failure.code == ErrorCode::ConnectFailed;
        const std::string outcome = notRun ? "not-run" : "unknown";
        if (session.options.json) {
            printJson(session,
                json { { "requestId", id }, { "outcome", outcome },
                    { "error", { { "code", Common::errorName(failure.code) }, { "message", failure.detail } } } });
        } else {
            session.errors << "request " << id << ": " << outcome << "\n";
            reportFailure(session, failure);
        }
        return notRun ? ExitCode::Unreachable : ExitCode::Unknown;
    }

} // namespace

ExitCode sendRequest(Session& session)
{
    const Options& options = session.options;
    if (!options.body.empty() && !options.file.empty())
        return usageFailure(session, "give either --body or --file");
    std::optional<std::string> body = options.body;
    if (!options.file.empty())
        body = session.readFile(options.file);
    if (!body)
        return usageFailure(session, "can't read " + options.file);
    const std::string id = options.id.empty() ? session.makeId("request") : options.id;
    const Result<HttpReply> reply = session.client.call(requestCall(session, id, std::move(*body)));
    if (!reply)
        return reportLost(session, id, reply.reason());
    const std::string outcome = reply->header("x-outcome");
    return report(session, id, outcome.empty() ? "unknown" : outcome, *reply);
}

} // namespace Cli
