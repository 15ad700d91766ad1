// Encodes and decodes JSON-RPC 2.0 messages with libjsonrpccpp. Only strings cross this interface, and the header uses
// nothing newer than C++14, since its implementation is built as C++14.
#pragma once

#include <memory>
#include <string>

namespace Peer {

/// The library's client and server are synchronous, so they are used only to write and read messages: a call is encoded
/// by a connector that keeps the message, and a reply by handling the call a second time once its result is known.
class RpcCodec {
public:
    /// A call as the server decodes it.
    struct Call {
        /// False: the message is not a valid call, and `reply` is the error to send back.
        bool valid = false;
        std::string method;
        /// JSON text.
        std::string params;
        std::string reply;
    };
    struct Reply {
        /// False: the call failed or the reply can't be read.
        bool ok = false;
        /// JSON text of the result.
        std::string result;
        std::string errorMessage;
        /// JSON text of the error's data; empty if there is none.
        std::string errorData;
    };

    RpcCodec();
    ~RpcCodec();
    RpcCodec(const RpcCodec&) = delete;
    RpcCodec& operator=(const RpcCodec&) = delete;

    /// Makes a method known to decodeCall().
    void addMethod(const std::string& method);

    /// `params` is JSON text.
    static std::string encodeCall(const std::string& method, const std::string& params);
    static Reply decodeReply(const std::string& text);
    Call decodeCall(const std::string& text);
    /// The reply to `call`, the text of a message that decodeCall() accepted. `result` and `data` are JSON text.
    std::string encodeResult(const std::string& call, const std::string& result);
    std::string encodeError(const std::string& call, const std::string& message, const std::string& data);

private:
    class Handler;
    std::unique_ptr<Handler> m_handler;
};

} // namespace Peer
