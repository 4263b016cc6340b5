// Logging by log4cplus.
#include "magnoliatide/telemetry/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace magnoliatide::telemetry {

namespace {

std::unique_ptr<log4cplus::Initializer> gInitializer;
std::string gSource;

log4cplus::Logger
RootLogger()
{
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("magnoliatide"));
}

std::string
Quoted(const std::string& aText)
{
  std::string quoted = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return quoted + "\"";
}

std::string
Line(const std::vector<LogField>& aFields)
{
  std::string line = "vm=" + Quoted(gSource);
  for (const auto& field : aFields) {
    line += " " + field.name + "=" + Quoted(field.value);
  }
  return line;
}

} // namespace

void
StartLog(const std::string& aLevel, const std::string& aSource)
{
  gSource = aSource;
  gInitializer = std::make_unique<log4cplus::Initializer>();
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    LOG4CPLUS_TEXT("time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
  auto logger = RootLogger();
  logger.addAppender(appender);
  logger.setLogLevel(log4cplus::OFF_LOG_LEVEL);
  if (aLevel == "info") {
    logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  } else if (aLevel == "warn") {
    logger.setLogLevel(log4cplus::WARN_LOG_LEVEL);
  } else if (aLevel == "error") {
    logger.setLogLevel(log4cplus::ERROR_LOG_LEVEL);
  }
}

void
StopLog()
{
  gInitializer.reset();
}

void
LogChange(const std::vector<LogField>& aFields)
{
  if (gInitializer) {
    LOG4CPLUS_INFO(RootLogger(), Line(aFields));
  }
}

void
LogError(const std::vector<LogField>& aFields)
{
  if (gInitializer) {
    LOG4CPLUS_ERROR(RootLogger(), Line(aFields));
  }
}

} // namespace magnoliatide::telemetry
