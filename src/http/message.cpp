// Access to the fields of HTTP messages, and creation of responses.
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
QueryParameter(const Request& aRequest, std::string_view aName)
{
  std::string_view target = aRequest.target;
  const auto queryStart = target.find('?');
  if (queryStart == std::string_view::npos) {
    return {};
  }
  target.remove_prefix(queryStart + 1);
  while (!target.empty()) {
    const auto parameter = target.substr(0, target.find('&'));
    const auto equals = parameter.find('=');
    if (parameter.substr(0, equals) == aName &&
        equals != std::string_view::npos) {
      return std::string(parameter.substr(equals + 1));
    }
    target.remove_prefix(std::min(target.size(), parameter.size() + 1));
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
