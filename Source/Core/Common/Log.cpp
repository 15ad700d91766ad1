// Configuration of log4cxx.
#include "Common/Log.h"

#include "Common/BoundedLog.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <array>
#include <memory>

namespace Common {

namespace {

    constexpr std::array<const char*, 8> categoryNames { "core", "http", "store", "worker", "peer", "config", "jobs",
        "requests" };

    log4cxx::LayoutPtr layoutOf(const std::string& process)
    {
        return log4cxx::LayoutPtr(new log4cxx::PatternLayout(
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS} level=%p category=%c process=" + process + " %m%n"));
    }

    std::shared_ptr<BoundedLog>& boundedLog()
    {
        static std::shared_ptr<BoundedLog> log;
        return log;
    }

} // namespace

void initBoundedLog(const std::string& process, const std::string& level)
{
    boundedLog() = std::make_shared<BoundedLog>(STDOUT_FILENO);
    boundedLog()->setLayout(layoutOf(process));
    log4cxx::BasicConfigurator::configure(boundedLog());
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

void flushLog()
{
    if (boundedLog())
        boundedLog()->flush();
}

void initLog(const std::string& process, const std::string& level)
{
    const log4cxx::AppenderPtr appender(
        new log4cxx::ConsoleAppender(layoutOf(process), log4cxx::ConsoleAppender::getSystemErr()));
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

void shutdownLog() { log4cxx::LogManager::shutdown(); }

const log4cxx::LoggerPtr& logger(LogCategory category)
{
    static const std::array<log4cxx::LoggerPtr, categoryNames.size()> loggers = [] {
        std::array<log4cxx::LoggerPtr, categoryNames.size()> made;
        for (size_t i = 0; i < made.size(); ++i)
            made[i] = log4cxx::Logger::getLogger(categoryNames[i]);
        return made;
    }();
    return loggers.at(static_cast<size_t>(category));
}

} // namespace Common
