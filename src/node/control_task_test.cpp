// Guards against control loops that end silently at an exception.
#include "control_task.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include <stdexcept>

namespace magnoliatide::node {
namespace {

TEST(ControlTask, StartsAgainAfterAnExceptionUntilItReturns)
{
  boost::asio::io_context loop;
  int starts = 0;
  StartControlTask(
    loop,
    "test",
    [&]() -> boost::asio::awaitable<void> {
      starts += 1;
      if (starts < 3) {
        throw std::runtime_error("odd value");
      }
      co_return;
    },
    Milliseconds(1));
  loop.run();
  EXPECT_EQ(starts, 3);
}

// Guards against a task that is started again without a pause.
TEST(ControlTask, PausesBeforeItStartsAgain)
{
  boost::asio::io_context loop;
  int starts = 0;
  StartControlTask(loop, "test", [&]() -> boost::asio::awaitable<void> {
    starts += 1;
    throw std::runtime_error("odd value");
    co_return;
  });
  loop.run_for(Milliseconds(200));
  EXPECT_EQ(starts, 1);
}

} // namespace
} // namespace magnoliatide::node
