// Drives curl's multi interface with the event loop: Asio waits for curl's sockets and timers.
// Timeouts are kept here rather than by curl, which checks them before it reads a socket: when the loop is late, it
// would discard answers that have arrived. A transfer times out only after its socket has been read.
#include "Http/Client.h"

#include "Http/EventLoop.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Http {

namespace {

    /// Connections that are idle for longer are not reused. Servers close idle connections later than this, so a reused
    /// connection is rarely closed already.
    constexpr long maximumIdleSeconds = 20;
    constexpr long maximumPooledConnections = 8192;
    /// curl iterates over all connections of a multi handle whenever a transfer ends, so they are spread over several.
    constexpr size_t shardCount = 64;
    constexpr size_t maximumSpareHandles = 1024;
    /// TCP keep-alive probes detect connections whose other end is gone, also while they are idle in the pool.
    constexpr int keepAliveIdleSeconds = 5;
    constexpr int keepAliveIntervalSeconds = 2;
    constexpr int keepAliveProbes = 3;
    constexpr unsigned unacknowledgedTimeoutMilliseconds = 10'000;
    constexpr std::chrono::milliseconds minimumTimeout { 1 };
    /// Timers fire late by more than this only if the loop was blocked or the process had no processor.
    constexpr std::chrono::milliseconds punctualLag { 20 };
    /// Granted once to an answer that is incomplete when a late loop finds its time over. Longer than the periods in
    /// which processor quotas are counted.
    constexpr std::chrono::milliseconds lateAnswerGrace { 200 };
    /// Bounds the time for which one connection keeps the loop at a timeout. curl reads 16 KiB at a time.
    constexpr int maximumFinalReads = 512;

    struct CurlProcess {
        CurlProcess() { curl_global_init(CURL_GLOBAL_DEFAULT); }
        CurlProcess(const CurlProcess&) = delete;
        CurlProcess& operator=(const CurlProcess&) = delete;
        ~CurlProcess() { curl_global_cleanup(); }
    };

    struct EasyDeleter {
        void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
    };
    using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

    struct ListDeleter {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };
    using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

    /// One request under way.
    struct Transfer {
        uint64_t id = 0;
        std::string address;
        Request request;
        HeaderList headers;
        Response response;
        Common::Callback<Response> callback;
        /// Null while the transfer waits for a free connection.
        EasyHandle easy;
        /// The socket that curl last used for it.
        curl_socket_t socket = CURL_SOCKET_BAD;
        /// A socket that was opened for it and on which no request could be written yet.
        curl_socket_t connecting = CURL_SOCKET_BAD;
        Common::MonotonicTime activatedAt;
        Common::MonotonicTime deadline;
        /// Applies until the transfer is started.
        Common::MonotonicTime connectDeadline;
        /// The time of its entry in Impl::due, which is not later than limit().
        Common::MonotonicTime dueAt;
        size_t maximumAnswerBytes = 0;
        /// Set when curl is about to write the request. A request is never written twice: curl would repeat one whose
        /// reused connection turns out to be closed, and the work could run twice.
        bool started = false;
        bool answerBegun = false;
        /// Set when curl has first worked on the transfer, which may be long after its activation if the loop is late.
        bool begun = false;
        bool graceUsed = false;

        Common::MonotonicTime limit() const
        {
            return easy && !started ? std::min(connectDeadline, deadline) : deadline;
        }

        /// Its time runs from here, so that a late start counts against neither the server nor the request.
        void begin(Common::MonotonicTime now)
        {
            if (std::exchange(begun, true))
                return;
            deadline += now - activatedAt;
            connectDeadline += now - activatedAt;
        }
    };

    /// The transfers of one address. curl's own limit of connections is not used, so that transfers that wait can be
    /// told from those that connect.
    struct AddressQueue {
        long active = 0;
        /// Oldest first; may hold ids of transfers that have ended.
        std::deque<uint64_t> waiting;
    };

    /// A socket that curl opened and Asio watches.
    struct Socket {
        Socket(asio::io_context& context, curl_socket_t fd, const Transfer& transfer)
            : descriptor(context, fd)
            , address(transfer.address)
            , openedFor(transfer.id)
        {
        }

        asio::posix::stream_descriptor descriptor;
        std::string address;
        uint64_t openedFor;
        /// CURL_POLL_*; CURL_POLL_REMOVE means that the connection is idle in curl's pool.
        int wanted = CURL_POLL_NONE;
        bool readPending = false;
        bool writePending = false;
    };

    void appendHeader(HeaderList& list, const std::string& line)
    {
        // curl copies the line and returns the same list, or a new one if the list was empty.
        list.reset(curl_slist_append(list.release(), line.c_str()));
    }

    std::string headerLine(const std::string& name, const std::string& value)
    {
        // A semicolon makes curl send a field with an empty value.
        std::string line = name;
        line += value.empty() ? ";" : ": ";
        line += value;
        return line;
    }

    HeaderList buildHeaders(const Request& request)
    {
        HeaderList list;
        // Suppresses fields that curl adds by default; with "Expect" it would wait for "100 Continue".
        for (const char* const suppressed : { "Expect:", "Accept:", "Content-Type:" })
            appendHeader(list, suppressed);
        for (const auto& [name, value] : request.headers.all())
            appendHeader(list, headerLine(name, value));
        return list;
    }

    size_t onBody(char* data, size_t size, size_t count, void* user)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        // Returning less than the size makes curl end the transfer with an error.
        if (transfer.response.body.size() + size * count > transfer.maximumAnswerBytes)
            return 0;
        transfer.response.body.append(data, size * count);
        return size * count;
    }

    std::string_view trimmed(std::string_view text)
    {
        const size_t first = text.find_first_not_of(" \t\r\n");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
    }

    void reserveBody(Transfer& transfer, std::string_view contentLength)
    {
        size_t bytes = 0;
        std::from_chars(contentLength.data(), contentLength.data() + contentLength.size(), bytes);
        transfer.response.body.reserve(std::min(bytes, transfer.maximumAnswerBytes));
    }

    size_t onHeader(char* data, size_t size, size_t count, void* user)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        const std::string_view line(data, size * count);
        transfer.answerBegun = true;
        if (line.starts_with("HTTP/")) {
            // The status line of the final answer may follow that of an interim answer.
            transfer.response = Response {};
            return line.size();
        }
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            return line.size();
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (name.size() == std::string_view("Content-Length").size() && (name[0] == 'C' || name[0] == 'c')
            && (name[8] == 'L' || name[8] == 'l'))
            reserveBody(transfer, value);
        transfer.response.headers.set(std::string(name), std::string(value));
        return line.size();
    }

    /// Bytes that have arrived at a socket and were not read yet.
    int unreadBytes(curl_socket_t fd)
    {
        int bytes = 0;
        if (fd == CURL_SOCKET_BAD || ::ioctl(fd, FIONREAD, &bytes) != 0)
            return 0;
        return bytes;
    }

    Common::ErrorCode errorCode(CURLcode code, const Transfer& transfer)
    {
        using Common::ErrorCode;
        if (!transfer.started)
            return ErrorCode::ConnectFailed;
        switch (code) {
        case CURLE_OPERATION_TIMEDOUT:
            return ErrorCode::Timeout;
        case CURLE_PARTIAL_FILE:
            return ErrorCode::TruncatedAnswer;
        case CURLE_UNSUPPORTED_PROTOCOL:
        case CURLE_WEIRD_SERVER_REPLY:
            return ErrorCode::ProtocolError;
        default:
            return transfer.answerBegun ? ErrorCode::TruncatedAnswer : ErrorCode::ConnectionLost;
        }
    }

    void setKeepAlive(curl_socket_t fd)
    {
        struct IntOption {
            int level;
            int name;
            int value;
        };
        for (const IntOption& option : std::array {
                 IntOption { SOL_SOCKET, SO_KEEPALIVE, 1 },
                 IntOption { IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds },
                 IntOption { IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds },
                 IntOption { IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes },
                 IntOption { IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedTimeoutMilliseconds) },
             })
            ::setsockopt(fd, option.level, option.name, &option.value, sizeof option.value);
    }

} // namespace

/// A curl multi handle with the connections of all addresses that hash to it.
struct Client::Shard {
    Shard(Impl& owner, asio::io_context& context)
        : impl(owner)
        , multi(curl_multi_init())
        , timer(context)
    {
    }
    Shard(const Shard&) = delete;
    Shard& operator=(const Shard&) = delete;
    ~Shard() { curl_multi_cleanup(multi); }

    Impl& impl;
    CURLM* const multi;
    asio::steady_timer timer;
    /// When curl wants to be called, if at all, and when the armed timer fires, which is not later.
    std::optional<Common::MonotonicTime> timeoutDue;
    std::optional<Common::MonotonicTime> timerArmedFor;
};

struct Client::Impl : public std::enable_shared_from_this<Client::Impl> {
    Impl(EventLoop& eventLoop, Limits clientLimits)
        : loop(eventLoop)
        , limits(clientLimits)
        , dueTimer(eventLoop.context())
    {
        static const CurlProcess process;
        for (size_t i = 0; i < shardCount; ++i)
            shards.push_back(makeShard());
    }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;
    ~Impl()
    {
        abandonAll();
        // Handles call back into this object until they are destroyed.
        spareHandles.clear();
        shards.clear();
    }

    EventLoop& loop;
    Limits limits;
    std::vector<std::unique_ptr<Shard>> shards;
    uint64_t lastTransfer = 0;
    std::unordered_map<uint64_t, std::unique_ptr<Transfer>> transfers;
    /// Ids of active transfers by their curl handle.
    std::unordered_map<CURL*, uint64_t> byHandle;
    /// Every socket that curl has open.
    std::unordered_map<curl_socket_t, std::unique_ptr<Socket>> sockets;
    /// Holds an entry for each address with an active transfer.
    std::unordered_map<std::string, AddressQueue> queues;
    std::vector<EasyHandle> spareHandles;
    /// When to check the limit of each transfer: exactly one entry for each, at its dueAt.
    std::set<std::pair<Common::MonotonicTime, uint64_t>> due;
    asio::steady_timer dueTimer;
    /// When the armed timer fires, which is not later than the first entry of `due`.
    std::optional<Common::MonotonicTime> dueTimerArmedFor;

    std::unique_ptr<Shard> makeShard()
    {
        auto shard = std::make_unique<Shard>(*this, loop.context());
        CURLM* const multi = shard->multi;
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, onSocket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, shard.get());
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, onTimer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, shard.get());
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, maximumPooledConnections);
        return shard;
    }

    Shard& shardFor(const std::string& address) const
    {
        return *shards[std::hash<std::string>()(address) % shards.size()];
    }

    // ---- Sockets ----

    static curl_socket_t openSocket(void* user, curlsocktype, curl_sockaddr* peer)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        Impl* impl = nullptr;
        curl_easy_getinfo(transfer.easy.get(), CURLINFO_PRIVATE, &impl);
        const curl_socket_t fd = ::socket(peer->family, peer->socktype | SOCK_NONBLOCK | SOCK_CLOEXEC, peer->protocol);
        if (fd == CURL_SOCKET_BAD)
            return CURL_SOCKET_BAD;
        setKeepAlive(fd);
        transfer.begin(impl->loop.now());
        impl->forgetConnecting(transfer);
        impl->forgetSocket(fd);
        transfer.connecting = fd;
        impl->sockets.emplace(fd, std::make_unique<Socket>(impl->loop.context(), fd, transfer));
        return fd;
    }

    static int closeSocket(void* user, curl_socket_t fd)
    {
        // The descriptor closes the socket and cancels its waits.
        static_cast<Impl*>(user)->sockets.erase(fd);
        return 0;
    }

    /// curl 7.88 closes a socket that is not connected yet without calling closeSocket().
    void forgetConnecting(Transfer& transfer)
    {
        const curl_socket_t fd = std::exchange(transfer.connecting, CURL_SOCKET_BAD);
        const auto found = sockets.find(fd);
        // The descriptor number may belong to a newer socket by now.
        if (found != sockets.end() && found->second->openedFor == transfer.id)
            forgetSocket(fd);
    }

    /// Removes a socket that curl has closed, if there is one of this number.
    void forgetSocket(curl_socket_t fd)
    {
        const auto found = sockets.find(fd);
        if (found == sockets.end())
            return;
        found->second->descriptor.release();
        sockets.erase(found);
    }

    static int onSocket(CURL* easy, curl_socket_t fd, int what, void* user, void*)
    {
        Impl& impl = static_cast<Shard*>(user)->impl;
        const auto found = impl.sockets.find(fd);
        if (found == impl.sockets.end())
            return 0;
        found->second->wanted = what;
        if (what != CURL_POLL_REMOVE)
            impl.noteSocket(easy, fd);
        impl.watch(*found->second);
        return 0;
    }

    void noteSocket(CURL* easy, curl_socket_t fd)
    {
        const auto known = byHandle.find(easy);
        if (known != byHandle.end())
            transfers.at(known->second)->socket = fd;
    }

    void watch(Socket& socket)
    {
        const bool wantsRead = socket.wanted == CURL_POLL_IN || socket.wanted == CURL_POLL_INOUT;
        const bool wantsWrite = socket.wanted == CURL_POLL_OUT || socket.wanted == CURL_POLL_INOUT;
        if (wantsRead && !socket.readPending) {
            socket.readPending = true;
            startWait(socket, asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN);
        }
        if (wantsWrite && !socket.writePending) {
            socket.writePending = true;
            startWait(socket, asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT);
        }
    }

    void startWait(Socket& socket, asio::posix::stream_descriptor::wait_type type, int event)
    {
        const curl_socket_t fd = socket.descriptor.native_handle();
        socket.descriptor.async_wait(
            type, [weak = weak_from_this(), fd, watched = &socket, event](const asio::error_code& error) {
                const auto impl = weak.lock();
                if (impl && error != asio::error::operation_aborted)
                    impl->onSocketReady(fd, watched, event, error ? CURL_CSELECT_ERR : event);
            });
    }

    void onSocketReady(curl_socket_t fd, const Socket* watched, int event, int signalled)
    {
        const auto found = sockets.find(fd);
        // The descriptor number may belong to a newer socket by now.
        if (found == sockets.end() || found->second.get() != watched)
            return;
        Socket& socket = *found->second;
        (event == CURL_CSELECT_IN ? socket.readPending : socket.writePending) = false;
        if (socket.wanted == CURL_POLL_REMOVE || socket.wanted == CURL_POLL_NONE)
            return;
        Shard& shard = shardFor(socket.address);
        int running = 0;
        curl_multi_socket_action(shard.multi, fd, signalled, &running);
        finishCompleted(shard);
        const auto still = sockets.find(fd);
        if (still != sockets.end() && still->second.get() == watched)
            watch(*still->second);
    }

    /// Shuts down the idle connections to an address, so that curl discards them and the next request opens a new one.
    void dropIdle(const std::string& address)
    {
        for (const auto& [fd, socket] : sockets) {
            if (socket->wanted == CURL_POLL_REMOVE && socket->address == address)
                ::shutdown(fd, SHUT_RDWR);
        }
    }

    // ---- Timer ----

    static int onTimer(CURLM*, long milliseconds, void* user)
    {
        Shard& shard = *static_cast<Shard*>(user);
        if (milliseconds < 0) {
            shard.timeoutDue.reset();
            return 0;
        }
        shard.timeoutDue = shard.impl.loop.now() + std::chrono::milliseconds(milliseconds);
        if (!shard.timerArmedFor || *shard.timeoutDue < *shard.timerArmedFor)
            shard.impl.armTimer(shard);
        return 0;
    }

    /// curl changes its timeout with each transfer. A timer that fires too early costs less than setting it each time.
    void armTimer(Shard& shard)
    {
        shard.timerArmedFor = shard.timeoutDue;
        shard.timer.expires_after(std::max(*shard.timeoutDue - loop.now(), Common::Duration::zero()));
        shard.timer.async_wait([weak = weak_from_this(), &shard](const asio::error_code& error) {
            const auto self = weak.lock();
            if (self && !error)
                self->timerFired(shard);
        });
    }

    void timerFired(Shard& shard)
    {
        shard.timerArmedFor.reset();
        if (!shard.timeoutDue)
            return;
        if (loop.now() < *shard.timeoutDue) {
            armTimer(shard);
            return;
        }
        shard.timeoutDue.reset();
        int running = 0;
        curl_multi_socket_action(shard.multi, CURL_SOCKET_TIMEOUT, 0, &running);
        finishCompleted(shard);
    }

    // ---- Timeouts ----

    /// Makes the transfer due at its limit.
    void updateDue(Transfer& transfer)
    {
        due.erase({ transfer.dueAt, transfer.id });
        transfer.dueAt = transfer.limit();
        due.emplace(transfer.dueAt, transfer.id);
        armDueTimer();
    }

    /// Most transfers end long before they are due, so the timer is left alone when they do.
    void armDueTimer()
    {
        if (due.empty() || (dueTimerArmedFor && *dueTimerArmedFor <= due.begin()->first))
            return;
        dueTimerArmedFor = due.begin()->first;
        dueTimer.expires_after(std::max(*dueTimerArmedFor - loop.now(), Common::Duration::zero()));
        dueTimer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (self && !error)
                self->dueTimerFired();
        });
    }

    void dueTimerFired()
    {
        dueTimerArmedFor.reset();
        const auto now = loop.now();
        // Callbacks may start or cancel transfers, or destroy the client. New entries are later than `now`.
        while (!due.empty() && due.begin()->first <= now)
            checkLimit(due.begin()->second, now);
        armDueTimer();
    }

    /// Ends a transfer whose time is over, or sets when it is due next.
    void checkLimit(uint64_t id, Common::MonotonicTime now)
    {
        Transfer& transfer = *transfers.at(id);
        if (transfer.limit() <= now) {
            if (!transfer.easy) {
                failUnsent(id, "no free connection in time");
                return;
            }
            readArrived(id);
            if (!transfers.contains(id))
                return;
            if (transfer.limit() <= now && !grantGrace(transfer, now)) {
                endTransfer(id, CURLE_OPERATION_TIMEDOUT);
                return;
            }
        }
        updateDue(transfer);
    }

    /// Makes curl process what the socket has received, or the established connection, which may end the transfer.
    void readArrived(uint64_t id)
    {
        for (int i = 0; i < maximumFinalReads; ++i) {
            const Transfer& transfer = *transfers.at(id);
            const bool unread = unreadBytes(transfer.socket) > 0;
            Shard& shard = shardFor(transfer.address);
            int running = 0;
            // Without events, curl polls the socket itself. A transfer without a socket waits for curl's timer.
            curl_multi_socket_action(
                shard.multi, transfer.socket == CURL_SOCKET_BAD ? CURL_SOCKET_TIMEOUT : transfer.socket, 0, &running);
            finishCompleted(shard);
            // The last pass reads the end of the stream.
            if (!unread || !transfers.contains(id))
                return;
        }
    }

    /// More of an answer than fits into the socket's buffer is sent only once the loop reads again.
    static bool grantGrace(Transfer& transfer, Common::MonotonicTime now)
    {
        if (!transfer.answerBegun || now - transfer.limit() < punctualLag || std::exchange(transfer.graceUsed, true))
            return false;
        transfer.deadline = now + lateAnswerGrace;
        return true;
    }

    // ---- Transfers ----

    EasyHandle takeHandle()
    {
        if (spareHandles.empty())
            return makeHandle();
        EasyHandle easy = std::move(spareHandles.back());
        spareHandles.pop_back();
        return easy;
    }

    void recycleHandle(EasyHandle easy)
    {
        if (spareHandles.size() < maximumSpareHandles)
            spareHandles.push_back(std::move(easy));
    }

    /// Creates a handle with the options that all requests share.
    EasyHandle makeHandle()
    {
        EasyHandle handle(curl_easy_init());
        CURL* const easy = handle.get();
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maximumIdleSeconds);
        // Addresses are numeric. With a maximum age, curl would search its whole cache for old entries at each request.
        curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, openSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeRequest);
        // curl applies no timeouts except its default for connecting, 300 s.
        return handle;
    }

    static void setRequestOptions(CURL* easy, Transfer& transfer)
    {
        const Request& request = transfer.request;
        std::string url = "http://";
        url += transfer.address;
        url += request.target;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        const bool isPlainGet = request.method == "GET" && request.body.empty();
        if (isPlainGet) {
            curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        } else {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        }
        const bool usesDefaultMethod = isPlainGet || request.method == "POST";
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, usesDefaultMethod ? nullptr : request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    }

    /// curl calls this each time it is about to write the request.
    static int onBeforeRequest(void* user, char*, char*, int, int)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        const Impl* impl = nullptr;
        curl_easy_getinfo(transfer.easy.get(), CURLINFO_PRIVATE, &impl);
        const auto now = impl->loop.now();
        transfer.begin(now);
        transfer.connecting = CURL_SOCKET_BAD;
        if (transfer.started || transfer.deadline <= now)
            return CURL_PREREQFUNC_ABORT;
        transfer.started = true;
        return CURL_PREREQFUNC_OK;
    }

    uint64_t start(
        const std::string& address, Request request, Common::Duration timeout, Common::Callback<Response> callback)
    {
        auto owned = std::make_unique<Transfer>();
        Transfer& transfer = *owned;
        transfer.id = ++lastTransfer;
        transfer.address = address;
        transfer.request = std::move(request);
        transfer.callback = std::move(callback);
        const auto now = loop.now();
        transfer.deadline = now + std::max<Common::Duration>(timeout, minimumTimeout);
        transfer.maximumAnswerBytes = limits.maximumAnswerBytes;
        transfers.emplace(transfer.id, std::move(owned));
        AddressQueue& queue = queues[address];
        if (queue.active < limits.maximumConnectionsPerAddress)
            activate(transfer, queue, now);
        else
            queue.waiting.push_back(transfer.id);
        updateDue(transfer);
        return transfer.id;
    }

    void activate(Transfer& transfer, AddressQueue& queue, Common::MonotonicTime now)
    {
        ++queue.active;
        transfer.activatedAt = now;
        transfer.connectDeadline = now + std::max<Common::Duration>(limits.connectTimeout, minimumTimeout);
        transfer.headers = buildHeaders(transfer.request);
        transfer.easy = takeHandle();
        CURL* const easy = transfer.easy.get();
        setRequestOptions(easy, transfer);
        byHandle.emplace(easy, transfer.id);
        const CURLMcode added = curl_multi_add_handle(shardFor(transfer.address).multi, easy);
        if (added == CURLM_OK)
            return;
        asio::post(loop.context(), [weak = weak_from_this(), id = transfer.id, added] {
            if (const auto impl = weak.lock())
                impl->failUnsent(id, curl_multi_strerror(added));
        });
    }

    /// Ends a transfer with ConnectFailed, since nothing of it was sent.
    void failUnsent(uint64_t id, const char* why)
    {
        const auto transfer = removeTransfer(id);
        if (transfer)
            transfer->callback(
                Common::Failure { Common::ErrorCode::ConnectFailed, transfer->address + ": " + why, std::nullopt });
    }

    /// Removes a transfer from curl and the tables and starts waiting transfers of its address. Null if there is none
    /// of this id.
    std::unique_ptr<Transfer> removeTransfer(uint64_t id)
    {
        const auto found = transfers.find(id);
        if (found == transfers.end())
            return nullptr;
        std::unique_ptr<Transfer> transfer = std::move(found->second);
        transfers.erase(found);
        due.erase({ transfer->dueAt, id });
        if (transfer->easy) {
            byHandle.erase(transfer->easy.get());
            curl_multi_remove_handle(shardFor(transfer->address).multi, transfer->easy.get());
            forgetConnecting(*transfer);
            recycleHandle(std::move(transfer->easy));
            --queues[transfer->address].active;
        }
        activateWaiting(transfer->address);
        return transfer;
    }

    void activateWaiting(const std::string& address)
    {
        const auto found = queues.find(address);
        if (found == queues.end())
            return;
        AddressQueue& queue = found->second;
        while (!queue.waiting.empty() && queue.active < limits.maximumConnectionsPerAddress) {
            const auto next = transfers.find(queue.waiting.front());
            queue.waiting.pop_front();
            if (next == transfers.end())
                continue;
            // Not sent any more if its time is over; the due timer ends it.
            const auto now = loop.now();
            if (next->second->deadline <= now)
                continue;
            activate(*next->second, queue, now);
            updateDue(*next->second);
        }
        if (queue.active == 0)
            queues.erase(found);
    }

    /// Removes all transfers without calling their callbacks.
    void abandonAll()
    {
        for (const auto& [id, transfer] : transfers) {
            if (!transfer->easy)
                continue;
            curl_multi_remove_handle(shardFor(transfer->address).multi, transfer->easy.get());
            forgetConnecting(*transfer);
        }
        byHandle.clear();
        queues.clear();
        due.clear();
        transfers.clear();
    }

    void finishCompleted(Shard& shard)
    {
        // Callbacks may start or cancel transfers, or destroy the client.
        const auto self = shared_from_this();
        int left = 0;
        while (const CURLMsg* const message = curl_multi_info_read(shard.multi, &left)) {
            if (message->msg == CURLMSG_DONE)
                finishTransfer(message->easy_handle, message->data.result);
        }
    }

    void finishTransfer(CURL* easy, CURLcode code)
    {
        const auto known = byHandle.find(easy);
        if (known == byHandle.end())
            return;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        if (code != CURLE_OK) {
            endTransfer(known->second, code);
            return;
        }
        const auto transfer = removeTransfer(known->second);
        transfer->response.status = static_cast<int>(status);
        transfer->callback(std::move(transfer->response));
    }

    /// Ends a transfer with a failure.
    void endTransfer(uint64_t id, CURLcode code)
    {
        const auto transfer = removeTransfer(id);
        // onBeforeRequest() aborts a transfer that is not started only if its time is over.
        if (code == CURLE_ABORTED_BY_CALLBACK && !transfer->started)
            code = CURLE_OPERATION_TIMEDOUT;
        const Common::ErrorCode error = errorCode(code, *transfer);
        // The fault that keeps this connection from being answered may affect the idle ones as well.
        if (error == Common::ErrorCode::Timeout)
            dropIdle(transfer->address);
        transfer->callback(
            Common::Failure { error, transfer->address + ": " + curl_easy_strerror(code), std::nullopt });
    }
};

Client::Client(EventLoop& loop, Limits limits)
    : m_impl(std::make_shared<Impl>(loop, limits))
{
}

Client::~Client() { m_impl->abandonAll(); }

uint64_t Client::send(
    const std::string& address, Request request, Common::Duration timeout, Common::Callback<Response> callback)
{
    return m_impl->start(address, std::move(request), timeout, std::move(callback));
}

void Client::abandon(uint64_t id) { m_impl->removeTransfer(id); }

} // namespace Http
