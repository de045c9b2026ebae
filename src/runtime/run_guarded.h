/** Edge at which an exception becomes a line of the log. */
#pragma once

#include "observe/log.h"

#include <exception>

namespace camphorfield {

/**
 * Runs a function. An exception of one callback or fiber must not end the
 * process, which serves many others.
 * @param aMessage Log message if it throws.
 */
template<typename Function>
void
RunGuarded(const char* aMessage, const Function& aFunction)
{
  try {
    aFunction();
  } catch (const std::exception& error) {
    WriteLog(LogLevel::Error, aMessage, { { "reason", error.what() } });
  }
}

} // namespace camphorfield
