#include "logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace apricotrock::daemon {

namespace {

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("apricotrockd");
}

log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Debug:
        break;
    }
    return log4cxx::Level::getDebug();
}

bool isPlain(std::string_view value)
{
    return !value.empty() && value.find_first_of(" \t\r\n\"=\\") == std::string_view::npos;
}

std::string quote(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n')
            text += "\\n";
        else if (c == '\r')
            text += "\\r";
        else if (c == '"' || c == '\\')
            text += {'\\', c};
        else
            text += c;
    }
    return text + '"';
}

} // namespace

void setUpLogging(LogLevel level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z level=%p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    logger()->removeAllAppenders();
    logger()->setAdditivity(false);
    logger()->addAppender(appender);
    logger()->setLevel(toLevel(level));
}

void logLine(LogLevel level, std::string_view event, const LogFields &fields)
{
    const log4cxx::LevelPtr priority = toLevel(level);
    if (logger()->isEnabledFor(priority))
        logger()->log(priority, formatLogLine(event, fields), log4cxx::spi::LocationInfo());
}

std::string formatLogLine(std::string_view event, const LogFields &fields)
{
    std::string text = "event=" + std::string(event);
    for (const auto &[name, value] : fields) {
        text += ' ';
        text.append(name);
        text += '=';
        text += isPlain(value) ? value : quote(value);
    }
    return text;
}

} // namespace apricotrock::daemon
