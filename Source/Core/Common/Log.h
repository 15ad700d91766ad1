// Log set-up, and log macros by category. Only state changes are logged; recurring events are counted in metrics.
#pragma once

#include <log4cxx/logger.h>

#include <string>

namespace Common {

enum class LogCategory {
    Core,
    Http,
    Store,
    Worker,
    Peer,
    Config,
    Jobs,
    Requests,
};

/// Logs to standard error, one line of key=value fields (time, level, category, process) and the message each.
/// `level` is one of "debug", "info", "warn", "error".
void initLog(const std::string& process, const std::string& level);
/// Like initLog(), but to standard output through a BoundedLog, which never blocks. Call flushLog() at regular
/// intervals.
void initBoundedLog(const std::string& process, const std::string& level);
/// Writes buffered lines; does nothing unless initBoundedLog() was called.
void flushLog();
void shutdownLog();
const log4cxx::LoggerPtr& logger(LogCategory);

} // namespace Common

#define LC_INFO(category, message) LOG4CXX_INFO(::Common::logger(::Common::LogCategory::category), message)
#define LC_WARN(category, message) LOG4CXX_WARN(::Common::logger(::Common::LogCategory::category), message)
#define LC_ERROR(category, message) LOG4CXX_ERROR(::Common::logger(::Common::LogCategory::category), message)
