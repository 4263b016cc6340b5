// Logging by log4cplus with non-blocking writes to the standard output.
#include "magnoliatide/telemetry/log.h"

#include "magnoliatide/telemetry/log_rate_limiter.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <ctime>
#include <memory>
#include <mutex>

namespace magnoliatide::telemetry {

namespace {

/// Size of the buffer for a slow reader. A line that does not fit is dropped.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

/// Writes lines to the standard output and buffers what its reader is too slow
/// to take.
class PipeAppender : public log4cplus::Appender
{
public:
  PipeAppender()
  {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  ~PipeAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    const auto& line = aEvent.getMessage();
    if (mPending.size() + line.size() > kMaxPendingBytes) {
      mDropped += 1;
      return;
    }
    mPending += line;
    if (mDropped > 0 && mPending.size() == line.size()) {
      mPending += "event=log-dropped lines=" + std::to_string(mDropped) + "\n";
      mDropped = 0;
    }
    Flush();
  }

private:
  void Flush()
  {
    std::size_t written = 0;
    while (written < mPending.size()) {
      const auto size = ::write(
        STDOUT_FILENO, mPending.data() + written, mPending.size() - written);
      if (size <= 0) {
        // The reader is slow or has closed the pipe. The next line retries.
        break;
      }
      written += static_cast<std::size_t>(size);
    }
    mPending.erase(0, written);
  }

  std::string mPending; ///< Complete lines; the first may be partly written.
  std::uint64_t mDropped = 0; ///< Lines not yet reported as dropped.
};

/// The state of logging between StartLog() and StopLog().
struct Log
{
  explicit Log(std::string aSource)
    : source(std::move(aSource))
    , logger(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("magnoliatide")))
  {
  }

  log4cplus::Initializer initializer;
  std::string source;
  log4cplus::Logger logger;
  std::mutex mutex; ///< Guards the members below.
  LogRateLimiter rateLimiter;
  std::time_t second = 0; ///< The second that timePrefix was formatted for.
  std::string timePrefix;
};

std::unique_ptr<Log> gLog;

/// Returns whether a value can be written without quotes.
bool
NeedsNoQuotes(std::string_view aText)
{
  return aText.find_first_of(" \"\\=\n\r\t") == std::string_view::npos;
}

/// Adds " NAME=VALUE", with the value quoted where needed. Control characters
/// in a quoted value become spaces.
void
AddField(std::string& aLine, std::string_view aName, std::string_view aValue)
{
  aLine += ' ';
  aLine += aName;
  aLine += '=';
  if (NeedsNoQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine += '\\';
    }
    aLine += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  aLine += '"';
}

/// Adds the time. The text up to the seconds is cached for one second.
void
AddTime(Log& aLog, std::string& aLine)
{
  const auto now = WallClock::now();
  const auto second = WallClock::to_time_t(now);
  if (second != aLog.second || aLog.timePrefix.empty()) {
    std::tm fields{};
    ::gmtime_r(&second, &fields);
    char text[32];
    std::strftime(text, sizeof(text), "time=%Y-%m-%dT%H:%M:%S.", &fields);
    aLog.timePrefix = text;
    aLog.second = second;
  }
  const auto millis =
    std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() %
    1000;
  aLine += aLog.timePrefix;
  aLine += static_cast<char>('0' + millis / 100);
  aLine += static_cast<char>('0' + millis / 10 % 10);
  aLine += static_cast<char>('0' + millis % 10);
  aLine += 'Z';
}

void
Write(log4cplus::LogLevel aLevel,
      const char* aLevelName,
      std::string_view aEvent,
      LogFields aFields)
{
  if (!gLog || !gLog->logger.isEnabledFor(aLevel)) {
    return;
  }
  std::lock_guard<std::mutex> lock(gLog->mutex);
  const auto decision = gLog->rateLimiter.Acquire(aEvent, Clock::now());
  if (!decision.write) {
    return;
  }
  std::string line;
  line.reserve(320);
  AddTime(*gLog, line);
  AddField(line, "level", aLevelName);
  AddField(line, "vm", gLog->source);
  AddField(line, "event", aEvent);
  if (decision.suppressed > 0) {
    AddField(line, "suppressed", std::to_string(decision.suppressed));
  }
  for (const auto& field : aFields) {
    if (!field.value.empty()) {
      AddField(line, field.name, field.value);
    }
  }
  line += '\n';
  gLog->logger.forcedLog(aLevel, line);
}

} // namespace

void
StartLog(const std::string& aLevel, const std::string& aSource)
{
  gLog = std::make_unique<Log>(aSource);
  auto& logger = gLog->logger;
  logger.removeAllAppenders();
  logger.addAppender(log4cplus::SharedAppenderPtr(new PipeAppender));
  logger.setAdditivity(false);
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
  gLog.reset();
}

void
LogInfo(std::string_view aEvent, LogFields aFields)
{
  Write(log4cplus::INFO_LOG_LEVEL, "info", aEvent, aFields);
}

void
LogWarning(std::string_view aEvent, LogFields aFields)
{
  Write(log4cplus::WARN_LOG_LEVEL, "warn", aEvent, aFields);
}

void
LogError(std::string_view aEvent, LogFields aFields)
{
  Write(log4cplus::ERROR_LOG_LEVEL, "error", aEvent, aFields);
}

} // namespace magnoliatide::telemetry
