/** Waits in a fiber for an Asio operation. */
#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace camphorfield {

/** Result of an Asio operation. */
struct IoResult
{
  boost::system::error_code error_; ///< Success or the cause of failure.
  std::size_t bytes_ = 0;           ///< Bytes transferred.
};

/**
 * Starts an operation and suspends the fiber until it completes.
 * @param aInitiate Called with a handler (error_code, size_t).
 * @return Error and byte count that the handler received.
 */
template<typename Initiate>
IoResult
AwaitIo(Initiate&& aInitiate)
{
  boost::fibers::promise<IoResult> promise;
  boost::fibers::future<IoResult> future = promise.get_future();
  aInitiate(
    [&promise](boost::system::error_code aError, std::size_t aBytes = 0) {
      promise.set_value(IoResult{ aError, aBytes });
    });
  return future.get();
}

} // namespace camphorfield
