// Buffering and non-blocking writes of log lines.
#include "Common/BoundedLog.h"

#include <log4cxx/layout.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

using Common::BoundedLog;
IMPLEMENT_LOG4CXX_OBJECT(BoundedLog)

namespace Common {

namespace {

    /// Lines are written in batches, since each write costs a system call.
    constexpr size_t flushThresholdBytes = 4096;
    /// A pipe that polls as writable accepts this many bytes without blocking.
    constexpr size_t maximumWriteBytes = 4096;

    bool isWritable(int descriptor)
    {
        pollfd entry { descriptor, POLLOUT, 0 };
        return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    }

} // namespace

BoundedLog::BoundedLog(int descriptor, size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

void BoundedLog::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool)
{
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    if (m_buffer.size() + line.size() > m_capacity) {
        flush();
        if (m_buffer.size() + line.size() > m_capacity) {
            ++m_dropped;
            return;
        }
    }
    if (m_dropped > m_reportedDropped) {
        m_buffer += "event=log-lines-dropped count=" + std::to_string(m_dropped - m_reportedDropped) + "\n";
        m_reportedDropped = m_dropped;
    }
    m_buffer += line;
    if (m_buffer.size() >= flushThresholdBytes)
        flush();
}

void BoundedLog::flush()
{
    size_t written = 0;
    while (written < m_buffer.size() && isWritable(m_descriptor)) {
        const size_t chunk = std::min(m_buffer.size() - written, maximumWriteBytes);
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, chunk);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_buffer.erase(0, written);
}

void BoundedLog::close() { flush(); }

} // namespace Common
