/** Converts between http_type.h and Boost.Beast; for inclusion in sources
 * only. */
#pragma once

#include "runtime/http_type.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

namespace camphorfield {

/** Copies header fields out of a Beast message. */
inline void
CopyFields(const boost::beast::http::fields& aFrom, std::vector<HttpField>& aTo)
{
  for (const auto& field : aFrom) {
    aTo.push_back(HttpField{ std::string(field.name_string()),
                             std::string(field.value()) });
  }
}

/** Sets header fields of a Beast message. */
inline void
SetFields(const std::vector<HttpField>& aFrom, boost::beast::http::fields& aTo)
{
  for (const HttpField& field : aFrom) {
    aTo.set(field.name_, field.value_);
  }
}

/** Beast's verb of a method. */
inline boost::beast::http::verb
ToVerb(HttpMethod aMethod)
{
  using boost::beast::http::verb;
  switch (aMethod) {
    case HttpMethod::Get:
      return verb::get;
    case HttpMethod::Post:
      return verb::post;
    case HttpMethod::Put:
      return verb::put;
    case HttpMethod::Delete:
      return verb::delete_;
    default:
      return verb::unknown;
  }
}

/** Method of a Beast verb. */
inline HttpMethod
FromVerb(boost::beast::http::verb aVerb)
{
  using boost::beast::http::verb;
  switch (aVerb) {
    case verb::get:
      return HttpMethod::Get;
    case verb::post:
      return HttpMethod::Post;
    case verb::put:
      return HttpMethod::Put;
    case verb::delete_:
      return HttpMethod::Delete;
    default:
      return HttpMethod::Other;
  }
}

} // namespace camphorfield
