// Restarts control tasks that end with an exception.
#include "control_task.h"

#include "magnoliatide/telemetry/log.h"

#include <boost/asio.hpp>

#include <exception>
#include <utility>

namespace magnoliatide::node {

namespace asio = boost::asio;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void>
Run(std::string aName,
    std::function<asio::awaitable<void>()> aTask,
    Duration aRestartDelay)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    try {
      co_await aTask();
      co_return;
    } catch (const std::exception& error) {
      telemetry::LogError("task-failed",
                          { { "task", aName }, { "problem", error.what() } });
    }
    timer.expires_after(aRestartDelay);
    co_await timer.async_wait(kNoThrow);
  }
}

} // namespace

void
StartControlTask(asio::io_context& aLoop,
                 std::string aName,
                 std::function<asio::awaitable<void>()> aTask,
                 Duration aRestartDelay)
{
  asio::co_spawn(aLoop,
                 Run(std::move(aName), std::move(aTask), aRestartDelay),
                 asio::detached);
}

} // namespace magnoliatide::node
