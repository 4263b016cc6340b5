// Starts and stops the threads of the event loops.
#include "magnoliatide/http/threads.h"

#include <boost/asio/executor_work_guard.hpp>

#include <thread>

namespace magnoliatide::http {

struct Threads::Loop
{
  boost::asio::io_context context{ 1 };
  /// Keeps the event loop running while it has no work.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard{ context.get_executor() };
  std::thread thread;
};

Threads::Threads(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    mLoops.push_back(std::make_unique<Loop>());
  }
  for (auto& loop : mLoops) {
    loop->thread = std::thread([&context = loop->context] { context.run(); });
  }
}

Threads::~Threads()
{
  Stop();
}

boost::asio::io_context&
Threads::Next()
{
  return mLoops[mNext.fetch_add(1) % mLoops.size()]->context;
}

boost::asio::io_context&
Threads::At(std::size_t aIndex)
{
  return mLoops[aIndex]->context;
}

std::size_t
Threads::size() const
{
  return mLoops.size();
}

void
Threads::Stop()
{
  for (auto& loop : mLoops) {
    loop->context.stop();
  }
  for (auto& loop : mLoops) {
    if (loop->thread.joinable()) {
      loop->thread.join();
    }
  }
}

} // namespace magnoliatide::http
