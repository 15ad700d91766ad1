// Encodes, sends and serves JSON-RPC calls between daemons.
#include "Peer/JsonRpcPeer.h"

#include "Common/Bounds.h"
#include "Common/JsonField.h"
#include "Common/JsonParser.h"
#include "Http/Client.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Peer {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    constexpr const char* codeMember = "code";
    constexpr const char* detailMember = "detail";
    constexpr const char* retryAfterMember = "retryAfterMs";
    constexpr auto longestRetryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(Common::maximumTimeSpan);

    /// Values may hold bytes that are not UTF-8, such as a record that another program wrote to the store.
    std::string textOf(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    std::string errorDataFrom(const Failure& failure)
    {
        // The detail is repeated here, since the library adds a prefix to the message of an error.
        json data { { codeMember, Common::errorName(failure.code) }, { detailMember, failure.detail } };
        if (failure.retryAfter)
            data[retryAfterMember] = std::chrono::ceil<std::chrono::milliseconds>(*failure.retryAfter).count();
        return textOf(data);
    }

    Failure failureFrom(const RpcCodec::Reply& reply)
    {
        Failure failure { ErrorCode::ProtocolError, reply.errorMessage };
        const json data = json::parse(reply.errorData, nullptr, false);
        if (!data.is_object())
            return failure;
        const auto code = data.find(codeMember);
        if (code != data.end() && code->is_string())
            failure.code = Common::errorFromName(code->get<std::string>()).value_or(ErrorCode::ProtocolError);
        const auto detail = data.find(detailMember);
        if (detail != data.end() && detail->is_string())
            failure.detail = detail->get<std::string>();
        const auto retryAfter = data.find(retryAfterMember);
        if (retryAfter != data.end() && retryAfter->is_number())
            failure.retryAfter
                = std::chrono::milliseconds(Common::JsonField(*retryAfter).clampedAmount(0, longestRetryAfter.count()));
        return failure;
    }

    Result<json> readReply(const Result<Http::Response>& response)
    {
        if (!response)
            return response.reason();
        if (response->status != 200)
            return Failure { ErrorCode::ProtocolError,
                "the peer answered with status " + std::to_string(response->status) };
        // The codec's library ends the process at a text that is nested too deeply.
        if (Common::isJsonTooDeep(response->body))
            return Failure { ErrorCode::ProtocolError, "the peer's answer is nested too deeply" };
        const RpcCodec::Reply reply = RpcCodec::decodeReply(response->body);
        if (!reply.ok)
            return failureFrom(reply);
        json result = json::parse(reply.result, nullptr, false);
        if (result.is_discarded())
            return Failure { ErrorCode::ProtocolError, "the peer's result is not JSON" };
        return result;
    }

} // namespace

JsonRpcPeer::JsonRpcPeer(Http::Client& client)
    : m_client(client)
{
}

void JsonRpcPeer::call(
    const std::string& address, const std::string& method, const json& params, Common::Duration timeout, Reply reply)
{
    Http::Request request;
    request.method = "POST";
    request.target = path;
    request.headers.set("Content-Type", "application/json");
    request.body = RpcCodec::encodeCall(method, textOf(params));
    m_client.send(address, std::move(request), timeout,
        [reply = std::move(reply)](const Result<Http::Response>& response) { reply(readReply(response)); });
}

void JsonRpcPeer::serve(const std::string& method, Handler handler)
{
    if (m_handlers.emplace(method, std::move(handler)).second)
        m_codec.addMethod(method);
}

void JsonRpcPeer::handle(const std::string& body, std::function<void(std::string)> reply)
{
    const RpcCodec::Call call = m_codec.decodeCall(Common::isJsonTooDeep(body) ? std::string() : body);
    if (!call.valid) {
        reply(call.reply);
        return;
    }
    const json params = json::parse(call.params, nullptr, false);
    const auto answer = [this, body, reply = std::move(reply)](const Result<json>& result) {
        if (result)
            reply(m_codec.encodeResult(body, textOf(*result)));
        else
            reply(m_codec.encodeError(body, result.reason().detail, errorDataFrom(result.reason())));
    };
    try {
        m_handlers.at(call.method)(params, answer);
    } catch (const json::exception& error) {
        // The parameters don't have the form that the method reads.
        answer(Failure { ErrorCode::MalformedRequest, error.what(), std::nullopt });
    }
}

} // namespace Peer
