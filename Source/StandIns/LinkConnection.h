// One TCP connection through the link stand-in. Each direction is a queue of delayed chunks of bytes.
#pragma once

#include "StandIns/LinkShaper.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace Http {
class EventLoop;
}

namespace StandIns {

/// Keeps itself alive while one of its operations is pending.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
    LinkConnection(Http::EventLoop&, asio::ip::tcp::socket accepted, LinkShaper& forward, LinkShaper& back);

    /// Connects to the target and starts to forward bytes both ways.
    void start(const asio::ip::tcp::endpoint& target);
    /// From now on reads and discards all bytes, permanently. Neither end sees a close.
    void silence();
    /// Resets the TCP connections to both ends.
    void reset();
    bool isOpen() const { return m_accepted.is_open(); }

private:
    struct Chunk {
        Common::MonotonicTime arrivesAt;
        /// Empty when the sender has closed its side.
        std::string bytes;
    };
    struct Direction {
        Direction(asio::ip::tcp::socket& source, asio::ip::tcp::socket& sink, LinkShaper& shaper);

        asio::ip::tcp::socket& source;
        asio::ip::tcp::socket& sink;
        LinkShaper& shaper;
        asio::steady_timer timer;
        std::array<char, 16384> buffer {};
        std::deque<Chunk> chunks;
        size_t queuedBytes = 0;
        /// Invariant: at most one read and one delivery are pending.
        bool reading = false;
        bool delivering = false;
        bool ended = false;
    };

    void read(Direction&);
    void onBytesRead(Direction&, size_t bytes, bool closed);
    void deliver(Direction&);
    void write(Direction&);

    Http::EventLoop& m_loop;
    asio::ip::tcp::socket m_accepted;
    asio::ip::tcp::socket m_connected;
    Direction m_forward;
    Direction m_back;
    bool m_silent = false;
};

} // namespace StandIns
