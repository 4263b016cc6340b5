// Helpers shared by all test doubles.
#include "standin.h"

#include <boost/asio.hpp>

#include <charconv>

namespace magnoliatide::standins {

boost::asio::awaitable<void>
Pause(Duration aTime)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  aTime);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

double
NumberParameter(const http::Request& aRequest,
                std::string_view aName,
                double aDefault)
{
  const auto text = http::QueryParameter(aRequest, aName);
  double value = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

} // namespace magnoliatide::standins
