// Lookups in HTTP messages.
#include "magnoliatide/http/message.h"

#include <boost/algorithm/string/predicate.hpp>

namespace magnoliatide::http {

std::string_view
Find(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (boost::algorithm::iequals(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

std::string_view
PathOf(const Request& aRequest)
{
  const std::string_view target = aRequest.target;
  return target.substr(0, target.find('?'));
}

std::string
QueryOf(const Request& aRequest, std::string_view aName)
{
  std::string_view target = aRequest.target;
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  target.remove_prefix(mark + 1);
  while (!target.empty()) {
    const auto item = target.substr(0, target.find('&'));
    const auto equals = item.find('=');
    if (item.substr(0, equals) == aName && equals != std::string_view::npos) {
      return std::string(item.substr(equals + 1));
    }
    target.remove_prefix(std::min(target.size(), item.size() + 1));
  }
  return {};
}

Response
JsonResponse(int aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

Response
TextResponse(int aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "text/plain" } }, std::move(aBody) };
}

} // namespace magnoliatide::http
