// Set-up of log4cxx.
#include "Common/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>

namespace Common {

namespace {

    constexpr std::array<const char*, 8> categoryNames { "core", "http", "store", "worker", "peer", "config", "jobs",
        "requests" };

} // namespace

void initLog(const std::string& process, const std::string& level)
{
    const std::string pattern = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS} level=%p category=%c process=" + process + " %m%n";
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
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
