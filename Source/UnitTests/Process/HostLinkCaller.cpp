// Plays a host in tests of the soak's links between hosts: carries out the lines that it reads, and writes a line for
// each.
//
// host-link-caller IP PORT reads "connect SECONDS", "say TEXT", "hear SECONDS" (a call to IP:PORT) and "datagram TEXT"
// (to the next port), and writes "done", "heard TEXT", "timeout", "reset" or "refused".
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

sockaddr_in addressOf(const char* ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

void setTimeout(int fd, int option, double seconds)
{
    timeval timeout {};
    timeout.tv_sec = static_cast<time_t>(seconds);
    timeout.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(timeout.tv_sec)) * 1e6);
    ::setsockopt(fd, SOL_SOCKET, option, &timeout, sizeof timeout);
}

std::string outcomeOf(ssize_t result)
{
    if (result >= 0)
        return "done";
    if (errno == ECONNREFUSED)
        return "refused";
    if (errno == ECONNRESET || errno == EPIPE)
        return "reset";
    return errno == EAGAIN || errno == EINPROGRESS || errno == ETIMEDOUT ? "timeout" : "error";
}

class Caller {
public:
    Caller(const char* ip, int port)
        : m_call(addressOf(ip, port))
        , m_datagram(addressOf(ip, port + 1))
        , m_datagrams(::socket(AF_INET, SOCK_DGRAM, 0))
    {
    }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;
    ~Caller()
    {
        ::close(m_connection);
        ::close(m_datagrams);
    }

    std::string carryOut(const std::string& verb, const std::string& text)
    {
        if (verb == "datagram")
            return outcomeOf(::sendto(m_datagrams, text.data(), text.size(), 0,
                reinterpret_cast<const sockaddr*>(&m_datagram), sizeof m_datagram));
        if (verb == "connect")
            return connect(std::stod(text));
        if (verb == "say")
            return outcomeOf(::send(m_connection, text.data(), text.size(), MSG_NOSIGNAL));
        return hear(std::stod(text));
    }

private:
    std::string connect(double seconds)
    {
        if (m_connection >= 0)
            ::close(m_connection);
        m_connection = ::socket(AF_INET, SOCK_STREAM, 0);
        // Linux applies it to connecting too.
        setTimeout(m_connection, SO_SNDTIMEO, seconds);
        return outcomeOf(::connect(m_connection, reinterpret_cast<const sockaddr*>(&m_call), sizeof m_call));
    }
    std::string hear(double seconds) const
    {
        setTimeout(m_connection, SO_RCVTIMEO, seconds);
        std::array<char, 100> text {};
        const ssize_t size = ::recv(m_connection, text.data(), text.size(), 0);
        if (size < 0)
            return outcomeOf(size);
        return size == 0 ? "heard" : "heard " + std::string(text.data(), static_cast<size_t>(size));
    }

    sockaddr_in m_call;
    sockaddr_in m_datagram;
    int m_datagrams;
    int m_connection = -1;
};

} // namespace

int main(int count, char** words)
{
    if (count != 3)
        return 2;
    Caller caller(words[1], std::atoi(words[2]));
    std::string line;
    while (std::getline(std::cin, line)) {
        const size_t gap = line.find(' ');
        std::cout << caller.carryOut(line.substr(0, gap), gap == std::string::npos ? "" : line.substr(gap + 1))
                  << std::endl;
    }
    return 0;
}
