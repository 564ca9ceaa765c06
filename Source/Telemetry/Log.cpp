#include "Telemetry/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace Mangofall {

namespace {

log4cxx::LevelPtr toLog4cxx(LogThreshold level)
{
    switch (level) {
    case LogThreshold::Trace:
        return log4cxx::Level::getTrace();
    case LogThreshold::Debug:
        return log4cxx::Level::getDebug();
    case LogThreshold::Info:
        return log4cxx::Level::getInfo();
    case LogThreshold::Warn:
        return log4cxx::Level::getWarn();
    case LogThreshold::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log4cxx::LayoutPtr makeLayout(bool json)
{
    if (json) {
        return std::make_shared<log4cxx::JSONLayout>();
    }
    return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %c: %m%n"));
}

}

void configureLogging(LogThreshold level, bool json)
{
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(makeLayout(json), log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxx(level));
}

struct Log::Private {
    log4cxx::LoggerPtr logger;
};

Log::Log(const std::string &prefix)
    : m_d(std::make_unique<Private>(Private{log4cxx::Logger::getLogger(prefix)}))
{
}

Log::~Log() = default;

void Log::debug(std::string_view message) const
{
    LOG4CXX_DEBUG(m_d->logger, std::string(message));
}

void Log::info(std::string_view message) const
{
    LOG4CXX_INFO(m_d->logger, std::string(message));
}

void Log::warning(std::string_view message) const
{
    LOG4CXX_WARN(m_d->logger, std::string(message));
}

void Log::error(std::string_view message) const
{
    LOG4CXX_ERROR(m_d->logger, std::string(message));
}

}
