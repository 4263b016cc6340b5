// A fixed set of threads, each with an event loop of its own.
#ifndef MAGNOLIATIDE_HTTP_THREADS_H
#define MAGNOLIATIDE_HTTP_THREADS_H

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

namespace magnoliatide::http {

/// Event loops that share nothing. What is made on one loop stays on it.
class Threads
{
public:
  explicit Threads(std::size_t aCount);
  ~Threads();

  Threads(const Threads&) = delete;
  Threads& operator=(const Threads&) = delete;

  /// Returns the loops in turn.
  boost::asio::io_context& Next();

  boost::asio::io_context& At(std::size_t aIndex);

  std::size_t size() const;

  /// Ends all loops and waits for their threads.
  void Stop();

private:
  struct Loop;
  std::vector<std::unique_ptr<Loop>> mLoops;
  std::atomic<std::size_t> mNext{ 0 };
};

} // namespace magnoliatide::http

#endif
