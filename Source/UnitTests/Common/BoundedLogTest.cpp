// A reader that stops reading must neither block the process nor let buffered log lines grow without bound.
#include "Common/BoundedLog.h"

#include <doctest/doctest.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

namespace {

struct Pipe {
    std::array<int, 2> ends {};
    Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    std::string read(size_t maximumBytes) const
    {
        std::string text(maximumBytes, '\0');
        const ssize_t count = ::read(ends[0], text.data(), maximumBytes);
        text.resize(count > 0 ? static_cast<size_t>(count) : 0);
        return text;
    }
};

log4cxx::LoggerPtr loggerTo(const std::shared_ptr<Common::BoundedLog>& log, const std::string& name)
{
    log->setLayout(log4cxx::LayoutPtr(new log4cxx::PatternLayout("%m%n")));
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(name);
    logger->setAdditivity(false);
    logger->setLevel(log4cxx::Level::getInfo());
    logger->addAppender(log);
    return logger;
}

} // namespace

TEST_CASE("a flush writes all buffered lines")
{
    const Pipe pipe;
    const auto log = std::make_shared<Common::BoundedLog>(pipe.ends[1]);
    const auto logger = loggerTo(log, "gathered");
    LOG4CXX_INFO(logger, "event=one");
    LOG4CXX_INFO(logger, "event=two");
    log->flush();
    CHECK(pipe.read(1000) == "event=one\nevent=two\n");
}

TEST_CASE("lines are dropped while the reader is stalled, and their number is logged afterwards")
{
    const Pipe pipe;
    const auto log = std::make_shared<Common::BoundedLog>(pipe.ends[1], 10'000);
    const auto logger = loggerTo(log, "dropped");
    const std::string line(99, 'x');
    // Far more than the pipe and the buffer hold; a log that blocked would hang here.
    for (int count = 0; count < 5000; ++count)
        LOG4CXX_INFO(logger, line);
    CHECK(log->dropped() > 0);
    std::string all;
    for (int round = 0; round < 100; ++round) {
        all += pipe.read(65'536);
        LOG4CXX_INFO(logger, "event=later");
        log->flush();
        if (all.find("event=later") != std::string::npos)
            break;
    }
    CHECK(all.find("event=log-lines-dropped count=") != std::string::npos);
}
