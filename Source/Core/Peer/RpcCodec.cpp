// Encodes and decodes JSON-RPC 2.0 messages with libjsonrpccpp.
#include "Peer/RpcCodec.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <sstream>

namespace Peer {

namespace {

    // The library checks declared parameters by name, so every call has this one parameter.
    const char* const bodyParameter = "body";
    const char* const anyMethod = "reply";
    // From the range that JSON-RPC reserves for implementations. The typed code is in the error's data.
    const int applicationError = -32000;

    std::string writeJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    Json::Value readJson(const std::string& text)
    {
        Json::Value value;
        std::istringstream stream(text);
        std::string errors;
        if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors))
            return Json::Value();
        return value;
    }

    /// Keeps the message that the library sends, and returns the given reply to it.
    class TextConnector : public jsonrpc::IClientConnector {
    public:
        explicit TextConnector(std::string reply)
            : m_reply(std::move(reply))
        {
        }
        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            m_sent = message;
            result = m_reply;
        }
        const std::string& sent() const { return m_sent; }

    private:
        std::string m_reply;
        std::string m_sent;
    };

} // namespace

class RpcCodec::Handler : public jsonrpc::IProcedureInvokationHandler {
public:
    Handler()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void addMethod(const std::string& method)
    {
        m_protocol->AddProcedure(jsonrpc::Procedure(
            method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, bodyParameter, jsonrpc::JSON_OBJECT, nullptr));
    }

    std::string handle(const std::string& call)
    {
        std::string reply;
        m_protocol->HandleRequest(call, reply);
        return reply;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        m_called = true;
        m_method = procedure.GetProcedureName();
        m_params = input[bodyParameter];
        if (m_failing)
            throw jsonrpc::JsonRpcException(applicationError, m_message, m_data);
        output = m_result;
    }
    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

    bool m_called = false;
    std::string m_method;
    Json::Value m_params;
    bool m_failing = false;
    std::string m_message;
    Json::Value m_data;
    Json::Value m_result;

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

RpcCodec::RpcCodec()
    : m_handler(new Handler)
{
}

RpcCodec::~RpcCodec() = default;

void RpcCodec::addMethod(const std::string& method) { m_handler->addMethod(method); }

std::string RpcCodec::encodeCall(const std::string& method, const std::string& params)
{
    TextConnector connector("");
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value named(Json::objectValue);
    named[bodyParameter] = readJson(params);
    try {
        client.CallMethod(method, named);
    } catch (const jsonrpc::JsonRpcException&) {
        // Expected: the connector has no reply to the call.
    }
    return connector.sent();
}

RpcCodec::Reply RpcCodec::decodeReply(const std::string& text)
{
    Reply reply;
    TextConnector connector(text);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        reply.result = writeJson(client.CallMethod(anyMethod, Json::Value(Json::objectValue)));
        reply.ok = true;
    } catch (const jsonrpc::JsonRpcException& error) {
        reply.errorMessage = error.GetMessage();
        reply.errorData = error.GetData().isNull() ? "" : writeJson(error.GetData());
    } catch (const Json::Exception& error) {
        reply.errorMessage = error.what();
    }
    return reply;
}

RpcCodec::Call RpcCodec::decodeCall(const std::string& text)
{
    m_handler->m_called = false;
    m_handler->m_failing = false;
    m_handler->m_result = Json::Value(Json::objectValue);
    Call call;
    call.reply = m_handler->handle(text);
    call.valid = m_handler->m_called;
    if (call.valid) {
        call.method = m_handler->m_method;
        call.params = writeJson(m_handler->m_params);
    }
    return call;
}

std::string RpcCodec::encodeResult(const std::string& call, const std::string& result)
{
    m_handler->m_failing = false;
    m_handler->m_result = readJson(result);
    return m_handler->handle(call);
}

std::string RpcCodec::encodeError(const std::string& call, const std::string& message, const std::string& data)
{
    m_handler->m_failing = true;
    m_handler->m_message = message;
    m_handler->m_data = readJson(data);
    return m_handler->handle(call);
}

} // namespace Peer
