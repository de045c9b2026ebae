// Waits after `apply --wait` until a change is in force on all live daemons.
#include "cli/change_wait.h"

#include "cli/ops_client.h"
#include "runtime/clock.h"

#include <boost/json.hpp>
#include <iostream>
#include <thread>

namespace camphorfield {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(100);

/** Requests whether all live members have the daemon's generation. */
bool
IsInForce(const OperatorFlags& aFlags)
{
  HttpRequest request;
  request.target_ = "/v1/status";
  const auto response = CallDaemon(aFlags.address_, request, TimeoutOf(aFlags));
  if (!response.ok()) {
    return false;
  }
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(response->body_, error);
  const boost::json::object* status = error ? nullptr : value.if_object();
  const boost::json::value* inForce =
    status == nullptr ? nullptr : status->if_contains("in_force_everywhere");
  return inForce != nullptr && inForce->is_bool() && inForce->get_bool();
}

} // namespace

bool
WaitUntilInForce(const OperatorFlags& aFlags)
{
  const TimePoint begin = ReadClock().mono_;
  const Duration limit = TimeoutOf(aFlags);
  while (ReadClock().mono_ - begin < limit) {
    if (IsInForce(aFlags)) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "not yet in force on all live daemons\n";
  return false;
}

} // namespace camphorfield
