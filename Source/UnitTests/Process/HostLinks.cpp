// Linked into the entry program of a soak: what a host sends to another host's address goes to the soak's link between
// the two, which passes it on. Hosts announce addresses of their own, so settings can't do that.
//
// LAVENDERCART_SOAK_LINKS="OWN LINKS", two IPv4 addresses: the host of the network OWN/24 that ends in x is reached at
// the address of the network LINKS/24 that ends in x. The port stays.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace {

constexpr uint32_t networkMask = 0xffffff00;

struct Networks {
    uint32_t own = 0;
    uint32_t links = 0;

    Networks()
    {
        const char* const value = std::getenv("LAVENDERCART_SOAK_LINKS");
        if (!value)
            return;
        const std::string text = value;
        const size_t gap = text.find(' ');
        if (gap == std::string::npos)
            return;
        own = parse(text.substr(0, gap));
        links = parse(text.substr(gap + 1));
    }

    static uint32_t parse(const std::string& text)
    {
        in_addr address {};
        return ::inet_pton(AF_INET, text.c_str(), &address) == 1 ? ntohl(address.s_addr) : 0;
    }
};

/// The address to use instead of the given one.
struct Destination {
    Destination(const void* given, socklen_t givenLength)
        : address(given)
        , length(givenLength)
    {
        // Initialized at the first call, which may come before this library's own constructors.
        static const Networks networks;
        if (!given || givenLength < sizeof changed || static_cast<const sockaddr*>(given)->sa_family != AF_INET
            || !networks.links)
            return;
        std::memcpy(&changed, given, sizeof changed);
        const uint32_t target = ntohl(changed.sin_addr.s_addr);
        if (target == networks.own || ((target ^ networks.own) & networkMask))
            return;
        changed.sin_addr.s_addr = htonl((networks.links & networkMask) | (target & ~networkMask));
        address = &changed;
        length = sizeof changed;
    }
    Destination(const Destination&) = delete;
    Destination& operator=(const Destination&) = delete;

    sockaddr_in changed {};
    const void* address;
    socklen_t length;
};

} // namespace

extern "C" {

int connect(int fd, const sockaddr* address, socklen_t length)
{
    const Destination destination(address, length);
    return static_cast<int>(::syscall(SYS_connect, fd, destination.address, destination.length));
}

ssize_t sendto(int fd, const void* data, size_t size, int flags, const sockaddr* address, socklen_t length)
{
    const Destination destination(address, length);
    return ::syscall(SYS_sendto, fd, data, size, flags, destination.address, destination.length);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags)
{
    const Destination destination(message->msg_name, message->msg_namelen);
    msghdr changed = *message;
    changed.msg_name = const_cast<void*>(destination.address);
    changed.msg_namelen = destination.length;
    return ::syscall(SYS_sendmsg, fd, &changed, flags);
}
}
