/** Answers to requests that could not be read. */
#pragma once

#include "runtime/http_type.h"
#include "runtime/memory_account.h"

#include <boost/system/error_code.hpp>
#include <optional>

namespace camphorfield {

/** Answer to a request that was not passed on. */
struct HttpRefusal
{
  HttpResponse response_;
  std::optional<MemoryLimit> limit_; ///< Limit that it ran into.
};

/** Error of a request for which there is no memory. */
boost::system::error_code
NoMemoryError();

/**
 * Refusal of a request by the error that ended its reading.
 * @return None if the client can't be answered or has sent nothing.
 */
std::optional<HttpRefusal>
MakeRefusal(const boost::system::error_code& aError);

} // namespace camphorfield
