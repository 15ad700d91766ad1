// Forwards the bytes of one proxied TCP connection with the delay and rate of the link.
#include "StandIns/LinkConnection.h"

#include "Http/EventLoop.h"

#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace StandIns {

namespace {

    /// Bytes that may be queued in one direction of a connection. Beyond that its source is not read until some are
    /// delivered.
    constexpr size_t maximumQueuedBytes = size_t { 1 } << 20;

    void resetSocket(asio::ip::tcp::socket& socket)
    {
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace

LinkConnection::Direction::Direction(
    asio::ip::tcp::socket& directionSource, asio::ip::tcp::socket& directionSink, LinkShaper& directionShaper)
    : source(directionSource)
    , sink(directionSink)
    , shaper(directionShaper)
    , timer(directionSource.get_executor())
{
}

LinkConnection::LinkConnection(
    Http::EventLoop& loop, asio::ip::tcp::socket accepted, LinkShaper& forward, LinkShaper& back)
    : m_loop(loop)
    , m_accepted(std::move(accepted))
    , m_connected(loop.context())
    , m_forward(m_accepted, m_connected, forward)
    , m_back(m_connected, m_accepted, back)
{
}

void LinkConnection::start(const asio::ip::tcp::endpoint& target)
{
    m_connected.async_connect(target, [self = shared_from_this()](const asio::error_code& error) {
        if (error) {
            self->reset();
            return;
        }
        asio::error_code ignored;
        self->m_accepted.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_connected.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read(self->m_forward);
        self->read(self->m_back);
    });
}

void LinkConnection::silence()
{
    m_silent = true;
    for (Direction* const direction : { &m_forward, &m_back }) {
        direction->chunks.clear();
        direction->queuedBytes = 0;
    }
}

void LinkConnection::reset()
{
    m_forward.timer.cancel();
    m_back.timer.cancel();
    resetSocket(m_accepted);
    resetSocket(m_connected);
}

void LinkConnection::read(Direction& direction)
{
    if (direction.reading || direction.ended || direction.queuedBytes >= maximumQueuedBytes)
        return;
    direction.reading = true;
    direction.source.async_read_some(asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const asio::error_code& error, size_t bytes) {
            direction.reading = false;
            if (error == asio::error::operation_aborted)
                return;
            if (error && error != asio::error::eof) {
                if (!self->m_silent)
                    self->reset();
                return;
            }
            self->onBytesRead(direction, bytes, static_cast<bool>(error));
        });
}

void LinkConnection::onBytesRead(Direction& direction, size_t bytes, bool closed)
{
    direction.ended = closed;
    if (!m_silent) {
        const Common::MonotonicTime arrivesAt = direction.shaper.admit(m_loop.now(), bytes);
        direction.chunks.push_back(Chunk { arrivesAt, std::string(direction.buffer.data(), bytes) });
        direction.queuedBytes += bytes;
        deliver(direction);
    }
    read(direction);
}

void LinkConnection::deliver(Direction& direction)
{
    if (direction.delivering || direction.chunks.empty())
        return;
    direction.delivering = true;
    const Common::Duration wait = direction.chunks.front().arrivesAt - m_loop.now();
    direction.timer.expires_after(std::max(wait, Common::Duration::zero()));
    direction.timer.async_wait([self = shared_from_this(), &direction](const asio::error_code& error) {
        if (!error)
            self->write(direction);
    });
}

void LinkConnection::write(Direction& direction)
{
    direction.delivering = false;
    if (direction.chunks.empty())
        return;
    auto chunk = std::make_shared<Chunk>(std::move(direction.chunks.front()));
    direction.chunks.pop_front();
    if (chunk->bytes.empty()) {
        asio::error_code ignored;
        direction.sink.shutdown(asio::socket_base::shutdown_send, ignored);
        return;
    }
    direction.delivering = true;
    asio::async_write(direction.sink, asio::buffer(chunk->bytes),
        [self = shared_from_this(), &direction, chunk](const asio::error_code& error, size_t written) {
            direction.delivering = false;
            if (error == asio::error::operation_aborted)
                return;
            if (error) {
                self->reset();
                return;
            }
            direction.queuedBytes -= std::min(direction.queuedBytes, written);
            self->deliver(direction);
            self->read(direction);
        });
}

} // namespace StandIns
