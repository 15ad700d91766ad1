// JSON-RPC 2.0 messages by libjsonrpccpp, as plain strings. Built as C++14: this header uses nothing newer.
#pragma once

#include <memory>
#include <string>

namespace Peer {

/// The library's client and server are synchronous. Here they only write and read messages: a call is encoded by a
/// connector that keeps the message, and a reply is written by handling its call a second time with the result at hand.
class RpcCodec {
public:
    /// A call as the server reads it.
    struct Call {
        /// False: `reply` is the error to send back.
        bool valid = false;
        std::string method;
        /// JSON text.
        std::string params;
        std::string reply;
    };
    struct Reply {
        bool ok = false;
        /// JSON text of the result.
        std::string result;
        std::string errorMessage;
        /// JSON text of the error's data; empty when there is none.
        std::string errorData;
    };

    RpcCodec();
    ~RpcCodec();
    RpcCodec(const RpcCodec&) = delete;
    RpcCodec& operator=(const RpcCodec&) = delete;

    /// Makes a method known to decodeCall().
    void addMethod(const std::string& method);

    static std::string encodeCall(const std::string& method, const std::string& params);
    static Reply decodeReply(const std::string& text);
    Call decodeCall(const std::string& text);
    std::string encodeResult(const std::string& call, const std::string& result);
    std::string encodeError(const std::string& call, const std::string& message, const std::string& data);

private:
    class Handler;
    std::unique_ptr<Handler> m_handler;
};

} // namespace Peer
