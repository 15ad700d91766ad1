// log4cxx appender that writes to a file descriptor without blocking, through a buffer of bounded size.
// initBoundedLog() installs it on standard output.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include <string>

namespace Common {

// The library's macros expect its names in scope.
namespace helpers = log4cxx::helpers; // NOLINT: the library's name
namespace spi = log4cxx::spi; // NOLINT: the library's name
using log4cxx::AppenderSkeleton;

/// Buffers lines and writes them while the descriptor accepts them. When the reader falls behind, at most `capacity`
/// bytes are buffered and further lines are dropped. Once there is room again, a line with event=log-lines-dropped
/// states how many were dropped.
class BoundedLog final : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(BoundedLog)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(BoundedLog)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    BoundedLog() = default;
    /// Writes to `descriptor`, which stays open when the log is closed. `capacity` is in bytes.
    explicit BoundedLog(int descriptor, size_t capacity = defaultCapacity);

    void append(const log4cxx::spi::LoggingEventPtr&, log4cxx::helpers::Pool&) override;
    void close() override;
    bool requiresLayout() const override { return true; }

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// Number of lines dropped since the start.
    uint64_t dropped() const { return m_dropped; }

private:
    /// 256 KiB: several seconds of a busy host's lines.
    static constexpr size_t defaultCapacity = size_t { 1 } << 18;

    int m_descriptor = 1;
    size_t m_capacity = defaultCapacity;
    std::string m_buffer;
    uint64_t m_dropped = 0;
    uint64_t m_reportedDropped = 0;
};

} // namespace Common
