// Log lines to standard output that never block and never fill the memory.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include <string>

namespace Common {

// The library's macros expect its names in scope.
namespace helpers = log4cxx::helpers; // NOLINT: the library's name
namespace spi = log4cxx::spi; // NOLINT: the library's name
using log4cxx::AppenderSkeleton;

/// Lines are gathered and written when the reader takes them. While it doesn't, at most `capacity` bytes are kept;
/// further lines are dropped and their number is told once there is room again.
class BoundedLog final : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(BoundedLog)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(BoundedLog)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    BoundedLog() = default;
    /// To that descriptor; it isn't closed.
    explicit BoundedLog(int descriptor, size_t capacity = defaultCapacity);

    void append(const log4cxx::spi::LoggingEventPtr&, log4cxx::helpers::Pool&) override;
    void close() override;
    bool requiresLayout() const override { return true; }

    /// Writes what the reader takes at once.
    void flush();
    uint64_t dropped() const { return m_dropped; }

private:
    /// A quarter of a megabyte: some seconds of a busy host's lines.
    static constexpr size_t defaultCapacity = size_t { 1 } << 18;

    int m_descriptor = 1;
    size_t m_capacity = defaultCapacity;
    std::string m_waiting;
    uint64_t m_dropped = 0;
    uint64_t m_droppedNoted = 0;
};

} // namespace Common
