// Log macros by category. Lines are for state changes only; everything that recurs is a counter.
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

/// Sets up the structured layout (time, level, category, process, message) on standard error.
/// `level` is one of "debug", "info", "warn", "error".
void initLog(const std::string& process, const std::string& level);
/// The same on standard output, gathered and never blocking; call flushLog() now and then.
void initBoundedLog(const std::string& process, const std::string& level);
void flushLog();
void shutdownLog();
const log4cxx::LoggerPtr& logger(LogCategory);

} // namespace Common

#define LC_INFO(category, message) LOG4CXX_INFO(::Common::logger(::Common::LogCategory::category), message)
#define LC_WARN(category, message) LOG4CXX_WARN(::Common::logger(::Common::LogCategory::category), message)
#define LC_ERROR(category, message) LOG4CXX_ERROR(::Common::logger(::Common::LogCategory::category), message)
