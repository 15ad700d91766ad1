// Sends each call with a curl easy handle of its own.
#include "Cli/CurlTransport.h"

#include "Cli/HttpCall.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace Cli {

namespace {

    using Common::ErrorCode;

    constexpr long connectTimeoutMilliseconds = 1000;

    struct HandleCloser {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };
    struct ListCloser {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };
    using Handle = std::unique_ptr<CURL, HandleCloser>;
    using HeaderList = std::unique_ptr<curl_slist, ListCloser>;

    size_t appendBody(const char* data, size_t size, size_t count, void* target)
    {
        static_cast<std::string*>(target)->append(data, size * count);
        return size * count;
    }

    std::string trimmed(const std::string& text)
    {
        const size_t first = text.find_first_not_of(" \t\r\n");
        const size_t last = text.find_last_not_of(" \t\r\n");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

    size_t storeHeader(const char* data, size_t size, size_t count, void* target)
    {
        const std::string line(data, size * count);
        const size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(
                name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
            static_cast<HttpReply*>(target)->headers[name] = trimmed(line.substr(colon + 1));
        }
        return line.size();
    }

    HeaderList headerList(const HttpCall& call)
    {
        // The empty header turns off curl's "Expect: 100-continue", with which it waits up to a second before it sends
        // a large body.
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : call.headers) {
            std::string line = name;
            line.append(": ").append(value);
            list = curl_slist_append(list, line.c_str());
        }
        return HeaderList(list);
    }

    ErrorCode errorCodeOf(CURLcode result, bool connected)
    {
        if (!connected)
            return ErrorCode::ConnectFailed;
        if (result == CURLE_OPERATION_TIMEDOUT)
            return ErrorCode::Timeout;
        return result == CURLE_PARTIAL_FILE ? ErrorCode::TruncatedAnswer : ErrorCode::ConnectionLost;
    }

    /// Whether the connection was established, after which bytes may have reached the daemon.
    bool wasConnected(CURL* handle)
    {
        curl_off_t connectTime = 0;
        curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectTime);
        return connectTime > 0;
    }

    void setUp(CURL* handle, const std::string& url, const HttpCall& call, const HeaderList& headers, HttpReply& reply)
    {
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout);
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, storeHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &reply);
        if (call.method == "POST") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        }
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }

} // namespace

CurlTransport::CurlTransport() { curl_global_init(CURL_GLOBAL_DEFAULT); }

CurlTransport::~CurlTransport() { curl_global_cleanup(); }

Common::Result<HttpReply> CurlTransport::send(const std::string& address, const HttpCall& call)
{
    const Handle handle(curl_easy_init());
    const HeaderList headers = headerList(call);
    HttpReply reply;
    const std::string url = "http://" + address + call.target;
    setUp(handle.get(), url, call, headers, reply);
    const CURLcode result = curl_easy_perform(handle.get());
    if (result != CURLE_OK) {
        return Common::Failure {
            .code = errorCodeOf(result, wasConnected(handle.get())),
            .detail = address + ": " + curl_easy_strerror(result),
        };
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

} // namespace Cli
