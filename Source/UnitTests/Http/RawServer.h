// A TCP server that answers with raw bytes, to simulate faulty servers.
#pragma once

#include "Http/EventLoop.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Fakes {

/// Calls the script for each request, which writes to the connection or closes it.
class RawServer {
public:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket s)
            : socket(std::move(s))
        {
        }
        void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
        void close() { socket.close(); }

        asio::ip::tcp::socket socket;
        size_t number = 0;
        /// Requests received on this connection, counted by the ends of their headers.
        int requests = 0;
        std::array<char, 65536> buffer {};
    };
    using Script = std::function<void(Connection&)>;

    RawServer(Http::EventLoop& loop, Script script)
        : m_acceptor(loop.context(), asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_script(std::move(script))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    size_t connections() const { return m_connections.size(); }
    int requests() const { return m_requests; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            auto connection = std::make_shared<Connection>(std::move(socket));
            connection->number = m_connections.size();
            m_connections.push_back(connection);
            read(connection);
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(
            asio::buffer(connection->buffer), [this, connection](const asio::error_code& error, size_t size) {
                if (error)
                    return;
                const std::string_view received(connection->buffer.data(), size);
                if (received.find("\r\n\r\n") != std::string_view::npos) {
                    ++connection->requests;
                    ++m_requests;
                    m_script(*connection);
                }
                if (connection->socket.is_open())
                    read(connection);
            });
    }

    asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<std::shared_ptr<Connection>> m_connections;
    int m_requests = 0;
};

} // namespace Fakes
