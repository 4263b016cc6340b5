// A fixed number of threads, each with its own event loop.
#ifndef MAGNOLIATIDE_HTTP_THREADS_H
#define MAGNOLIATIDE_HTTP_THREADS_H

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

namespace magnoliatide::http {

/// Threads that run one event loop each. An object created on a loop must be
/// used only on that loop.
class Threads
{
public:
  /// Starts the threads.
  explicit Threads(std::size_t aCount);
  ~Threads();

  Threads(const Threads&) = delete;
  Threads& operator=(const Threads&) = delete;

  /// Returns the event loops in round-robin order. Safe to call on any thread.
  boost::asio::io_context& Next();

  /// Returns the event loop of a thread.
  boost::asio::io_context& At(std::size_t aIndex);

  /// Returns the number of threads.
  std::size_t size() const;

  /// Stops all event loops and joins their threads.
  void Stop();

private:
  struct Loop;
  std::vector<std::unique_ptr<Loop>> mLoops;
  std::atomic<std::size_t> mNext{ 0 };
};

} // namespace magnoliatide::http

#endif
