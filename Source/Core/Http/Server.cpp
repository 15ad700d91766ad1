// Adapts RESTinio's server to the plain request and response types.
#include "Http/Server.h"

#include "Common/ErrorCode.h"
#include "Http/Address.h"
#include "Http/ErrorBody.h"
#include "Http/EventLoop.h"

#include <restinio/all.hpp>
#include <sys/resource.h>

#include <algorithm>

namespace Http {

namespace {

    /// Bodies over the limit are read up to this much further, so that the caller gets the typed error instead of a
    /// reset.
    constexpr uint64_t refusedBodySlackBytes = uint64_t { 4 } << 20;
    constexpr size_t readBufferBytes = size_t { 16 } << 10;
    /// One request is handled at a time; the second slot keeps a read pending, which detects that the peer has closed.
    constexpr size_t pipelinedRequests = 2;
    /// Handlers set their own deadlines.
    constexpr std::chrono::hours handleTimeout { 24 };
    constexpr std::chrono::seconds writeTimeout { 60 };

    /// RESTinio stops accepting permanently if a connection gets no descriptor, so half of the descriptors are left for
    /// other uses.
    size_t limitByDescriptors(size_t wanted)
    {
        rlimit limit {};
        if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return wanted;
        return std::min<size_t>(wanted, limit.rlim_cur / 2);
    }

    struct ServerTraits : public restinio::default_single_thread_traits_t {
        static constexpr bool use_connection_count_limiter = true; // NOLINT: RESTinio's name
        using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    };
    using RestinioServer = restinio::http_server_t<ServerTraits>;

    /// Shared with RESTinio's connections, which may outlive the server.
    struct Shared {
        Server::Handler handler;
        size_t maximumBodyBytes = 0;
        /// If false, each answer closes its connection.
        bool accepting = true;
        /// If true, no request reaches the handler.
        bool closed = false;
    };

    /// One request that waits for its answer.
    struct Exchange {
        std::shared_ptr<Shared> shared;
        restinio::impl::connection_handle_t connection;
        restinio::request_id_t requestId;
        restinio::response_builder_t<restinio::restinio_controlled_output_t> builder;
        bool answered = false;
    };

    Request toRequest(const restinio::request_t& received)
    {
        Request request;
        request.method = received.header().method().c_str();
        request.target = received.header().request_target();
        received.header().for_each_field([&](const auto& field) { request.headers.set(field.name(), field.value()); });
        request.body = received.body();
        return request;
    }

    const char* reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 202:
            return "Accepted";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 410:
            return "Gone";
        case 412:
            return "Precondition Failed";
        case 413:
            return "Content Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Content";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return status < 400 ? "OK" : "Error";
        }
    }

    /// A final answer without any bytes makes RESTinio close the connection.
    void dropConnection(Exchange& exchange)
    {
        const restinio::response_output_flags_t flags { restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close };
        exchange.connection->write_response_parts(
            exchange.requestId, flags, restinio::write_group_t { restinio::writable_items_container_t {} });
    }

    void answer(Exchange& exchange, Response response)
    {
        if (exchange.answered)
            return;
        exchange.answered = true;
        if (response.status == Server::dropConnection) {
            dropConnection(exchange);
            return;
        }
        const restinio::http_status_code_t code { static_cast<uint16_t>(response.status) };
        exchange.builder.header().status_line(restinio::http_status_line_t { code, reasonPhrase(response.status) });
        for (const auto& [name, value] : response.headers.all())
            exchange.builder.append_header(name, value);
        if (!exchange.shared->accepting)
            exchange.builder.connection_close();
        exchange.builder.set_body(std::move(response.body));
        exchange.builder.done();
    }

    restinio::request_handling_status_t receive(
        const std::shared_ptr<Shared>& shared, const restinio::request_handle_t& received)
    {
        auto connection = restinio::impl::access_req_connection(*received);
        const auto requestId = received->request_id();
        auto exchange = std::make_shared<Exchange>(
            Exchange { shared, std::move(connection), requestId, received->create_response(), false });
        if (shared->closed) {
            answer(*exchange, errorResponse(Common::ErrorCode::Draining, "the server is closed"));
            return restinio::request_accepted();
        }
        if (received->body().size() > shared->maximumBodyBytes) {
            answer(*exchange, errorResponse(Common::ErrorCode::RequestTooLarge, "the body is over the limit"));
            return restinio::request_accepted();
        }
        shared->handler(
            toRequest(*received), [exchange](Response response) { answer(*exchange, std::move(response)); });
        return restinio::request_accepted();
    }

} // namespace

struct Server::Impl {
    EventLoop& loop;
    Limits limits;
    std::shared_ptr<Shared> shared;
    uint16_t port = 0;
    std::unique_ptr<RestinioServer> server;

    void configure(restinio::server_settings_t<ServerTraits>& settings, const asio::ip::tcp::endpoint& endpoint)
    {
        settings.port(endpoint.port());
        settings.protocol(endpoint.protocol());
        settings.address(endpoint.address());
        settings.buffer_size(readBufferBytes);
        settings.max_pipelined_requests(pipelinedRequests);
        settings.max_parallel_connections(limitByDescriptors(limits.maximumConnections));
        settings.read_next_http_message_timelimit(limits.idleTimeout);
        settings.write_http_response_timelimit(writeTimeout);
        settings.handle_request_timeout(handleTimeout);
        settings.incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t {}.max_body_size(limits.maximumBodyBytes + refusedBodySlackBytes));
        settings.socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); });
        settings.acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor& acceptor) { port = acceptor.local_endpoint().port(); });
        settings.request_handler(
            [shared = shared](const restinio::request_handle_t& received) { return receive(shared, received); });
    }
};

Server::Server(EventLoop& loop, Limits limits, Handler handler)
    : m_impl(new Impl { loop, limits, std::make_shared<Shared>(), 0, nullptr })
{
    m_impl->shared->handler = std::move(handler);
    m_impl->shared->maximumBodyBytes = limits.maximumBodyBytes;
}

Server::~Server() { close(); }

Common::Result<uint16_t> Server::listen(const std::string& address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return endpoint.reason();
    const asio::ip::tcp::endpoint bindTo { asio::ip::make_address(endpoint->host), endpoint->port };
    try {
        m_impl->server = std::make_unique<RestinioServer>(restinio::external_io_context(m_impl->loop.context()),
            [&](auto& settings) { m_impl->configure(settings, bindTo); });
        m_impl->server->open_sync();
    } catch (const std::exception& error) {
        m_impl->server.reset();
        return Common::Failure { Common::ErrorCode::InvalidSetting, address + ": " + error.what(), std::nullopt };
    }
    return m_impl->port;
}

void Server::closeAfterAnswers() { m_impl->shared->accepting = false; }

void Server::stopAccepting()
{
    closeAfterAnswers();
    if (m_impl->server)
        m_impl->server->close_sync();
}

void Server::close()
{
    stopAccepting();
    // The handler may be the caller of this function, so it is kept until the last connection has closed.
    m_impl->shared->closed = true;
}

} // namespace Http
