// Refusals of the HTTP server. All of them are sent before any part of the
// request has been passed on, so 503 truthfully says that it did not run.
#include "runtime/http_refusal.h"

#include <boost/beast/http/error.hpp>

namespace camphorfield {

namespace http = boost::beast::http;

boost::system::error_code
NoMemoryError()
{
  return make_error_code(boost::system::errc::not_enough_memory);
}

std::optional<HttpRefusal>
MakeRefusal(const boost::system::error_code& aError)
{
  const boost::system::error_code parse = http::error::bad_version;
  const bool isShort = aError == NoMemoryError();
  if ((aError.category() != parse.category() && !isShort) ||
      aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    return std::nullopt;
  }
  HttpRefusal refusal;
  HttpResponse& response = refusal.response_;
  response.status_ = 400;
  response.body_ = R"({"code":1100,"result":"BAD_REQUEST"})";
  if (aError == http::error::body_limit) {
    refusal.limit_ = MemoryLimit::Body;
    response.status_ = 413;
    response.body_ = R"({"code":1102,"result":"TOO_LARGE"})";
  } else if (aError == http::error::header_limit) {
    refusal.limit_ = MemoryLimit::Head;
    response.status_ = 431;
  } else if (isShort) {
    refusal.limit_ = MemoryLimit::Request;
    response.status_ = 503;
    response.body_ = R"({"code":1201,"result":"OVERLOADED"})";
    response.fields_.push_back({ "Retry-After", "1" });
  }
  response.fields_.push_back({ "Content-Type", "application/json" });
  return refusal;
}

} // namespace camphorfield
