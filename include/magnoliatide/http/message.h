// Plain values for HTTP requests and responses.
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

/// Returns the value of a header, or an empty text. Names ignore case.
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

/// Returns the target's path, without the query.
std::string_view
PathOf(const Request& aRequest);

/// Returns a query parameter's raw value, or an empty text.
std::string
QueryOf(const Request& aRequest, std::string_view aName);

/// Makes a response with a JSON body.
Response
JsonResponse(int aStatus, std::string aBody);

/// Makes a response with a plain-text body.
Response
TextResponse(int aStatus, std::string aBody);

} // namespace magnoliatide::http

#endif
