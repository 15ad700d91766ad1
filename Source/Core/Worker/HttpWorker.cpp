// Calls to workers over HTTP.
#include "Worker/HttpWorker.h"

#include "Http/Client.h"
#include "Scheduler/RunAnswer.h"
#include "Scheduler/RunCommand.h"
#include "Worker/WorkerCodec.h"

#include <nlohmann/json.hpp>

namespace Worker {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    constexpr Common::Duration startTimeout = std::chrono::seconds(2);
    constexpr Common::Duration controlTimeout = std::chrono::seconds(2);
    constexpr const char* jsonType = "application/json";
    constexpr const char* taskHeader = "X-Task";

    Http::Request jsonPost(std::string target, std::string body)
    {
        Http::Request request;
        request.method = "POST";
        request.target = std::move(target);
        request.headers.set("Content-Type", jsonType);
        request.body = std::move(body);
        return request;
    }

    /// The failure in the worker's error body. Without a known code it is ProtocolError, which does not prove that
    /// nothing ran.
    Failure failureFrom(const Http::Response& response)
    {
        Failure failure { ErrorCode::ProtocolError,
            "the worker answered with status " + std::to_string(response.status) };
        const json body = json::parse(response.body, nullptr, false);
        if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
            return failure;
        const json& error = body["error"];
        failure.code = Common::errorFromName(error.value("code", std::string())).value_or(ErrorCode::ProtocolError);
        failure.detail = error.value("message", failure.detail);
        // ConnectFailed means that nothing ran, which only a failed connection proves; a worker that answers was
        // reached.
        if (failure.code == ErrorCode::ConnectFailed)
            failure.code = ErrorCode::ProtocolError;
        return failure;
    }

    Result<Common::Done> toDone(const Result<Http::Response>& response)
    {
        if (!response)
            return response.reason();
        if (response->status >= 300)
            return failureFrom(*response);
        return Common::Done {};
    }

    Result<Scheduler::RunAnswer> toAnswer(const Result<Http::Response>& response, const Common::TaskId& task)
    {
        if (!response)
            return response.reason();
        // An answer for another task proves nothing about this one.
        if (response->headers.get(taskHeader) != task.value())
            return Failure { ErrorCode::ProtocolError, "the answer is for another task" };
        if (response->status != 200)
            return failureFrom(*response);
        return Scheduler::RunAnswer { task, response->headers.get("Content-Type").value_or(""), response->body };
    }

} // namespace

void HttpWorker::sync(const std::string& address, const Scheduler::SyncRequest& request, Common::Duration timeout,
    Common::Callback<Scheduler::WorkerReport> callback)
{
    m_syncClient.send(address, jsonPost("/sync", encodeSync(request)), timeout,
        [callback = std::move(callback)](const Result<Http::Response>& response) {
            if (!response)
                callback(response.reason());
            else if (response->status != 200)
                callback(failureFrom(*response));
            else
                callback(decodeReport(response->body));
        });
}

void HttpWorker::start(
    const std::string& address, const Scheduler::StartCommand& command, Common::Callback<Common::Done> callback)
{
    m_client.send(address, jsonPost("/tasks", encodeStart(command)), startTimeout,
        [callback = std::move(callback)](const Result<Http::Response>& response) { callback(toDone(response)); });
}

void HttpWorker::run(
    const std::string& address, const Scheduler::RunCommand& command, Common::Callback<Scheduler::RunAnswer> callback)
{
    Http::Request request;
    request.method = "POST";
    request.target = "/run";
    request.headers.set("Content-Type", command.contentType);
    request.headers.set(taskHeader, command.task.value());
    request.headers.set("X-Boot", command.boot.value());
    request.headers.set("X-Start-By", std::to_string(command.startBy.milliseconds));
    request.headers.set("X-Service", command.service.value());
    request.headers.set("X-Declared", toJson(command.declared).dump());
    request.body = command.body;
    m_client.send(address, std::move(request), command.timeout,
        [callback = std::move(callback), task = command.task](
            const Result<Http::Response>& response) { callback(toAnswer(response, task)); });
}

void HttpWorker::control(const std::string& address, Scheduler::TaskControl action,
    const std::vector<Common::TaskId>& tasks, Common::Callback<Common::Done> callback)
{
    m_client.send(address, jsonPost("/control", encodeControl(action, tasks)), controlTimeout,
        [callback = std::move(callback)](const Result<Http::Response>& response) { callback(toDone(response)); });
}

} // namespace Worker
