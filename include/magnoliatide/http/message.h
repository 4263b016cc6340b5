// HTTP requests and responses as plain structs.
#ifndef MAGNOLIATIDE_HTTP_MESSAGE_H
#define MAGNOLIATIDE_HTTP_MESSAGE_H

#include "magnoliatide/core/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliatide::http {

struct Header
{
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// Returns the value of the first header with a name, or an empty string. Case
/// is ignored.
std::string_view
Find(const Headers& aHeaders, std::string_view aName);

struct Request
{
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
};

struct Response
{
  int status = 200;
  Headers headers;
  std::string body;
};

/// Returns the path of the target, without the query.
std::string_view
PathOf(const Request& aRequest);

/// Returns the value of a query parameter without percent-decoding, or an empty
/// string.
std::string
QueryParameter(const Request& aRequest, std::string_view aName);

/// Creates a response with a JSON body.
Response
JsonResponse(int aStatus, std::string aBody);

/// Creates a response with a plain-text body.
Response
TextResponse(int aStatus, std::string aBody);

} // namespace magnoliatide::http

#endif
