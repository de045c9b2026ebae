// Operator commands that make one call to a daemon and print its answer. A
// change whose result was lost can be sent again under the same id.
#include "cli/operator_cmd.h"

#include "cli/change_wait.h"
#include "cli/ops_client.h"
#include "core/hash_func.h"
#include "runtime/clock.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace camphorfield {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUnavailable = 2;

/** Calls a daemon and prints the body of its response. */
int
CallAndPrint(const OperatorFlags& aFlags, const HttpRequest& aRequest)
{
  const auto response =
    CallDaemon(aFlags.address_, aRequest, TimeoutOf(aFlags));
  if (!response.ok()) {
    std::cerr << response.status().message() << "\n";
    return kExitUnavailable;
  }
  std::cout << response->body_ << "\n";
  return response->status_ < 300 ? kExitOk : kExitRefused;
}

int
GetAndPrint(const OperatorFlags& aFlags, const std::string& aTarget)
{
  HttpRequest request;
  request.target_ = aTarget;
  return CallAndPrint(aFlags, request);
}

bool
ReadFile(const std::string& aPath, std::string& aText)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  aText = text.str();
  if (!file) {
    std::cerr << "can't read " << aPath << "\n";
  }
  return static_cast<bool>(file);
}

// The id makes repeated sends of a change idempotent, for example after an
// unknown result. By default it is unique to this run.
std::string
ChangeIdOf(const OperatorFlags& aFlags)
{
  if (!aFlags.changeId_.empty()) {
    return aFlags.changeId_;
  }
  const auto time = static_cast<std::uint64_t>(ReadClock().unixMicros_);
  return "change-" + std::to_string(time) + "-" +
         std::to_string(HashPair(time, static_cast<std::uint64_t>(getpid())));
}

} // namespace

int
RunCheck(const OperatorFlags& aFlags)
{
  HttpRequest request;
  request.method_ = HttpMethod::Post;
  request.target_ = "/v1/check";
  if (!ReadFile(aFlags.file_, request.body_)) {
    return kExitUnavailable;
  }
  return CallAndPrint(aFlags, request);
}

int
RunApply(const OperatorFlags& aFlags)
{
  HttpRequest request;
  request.method_ = HttpMethod::Post;
  request.target_ = "/v1/apply";
  if (!ReadFile(aFlags.file_, request.body_)) {
    return kExitUnavailable;
  }
  const std::string changeId = ChangeIdOf(aFlags);
  request.fields_.push_back({ "Change-Id", changeId });
  const int status = CallAndPrint(aFlags, request);
  if (status == kExitUnavailable) {
    std::cerr << "result unknown; repeat the command with --change-id "
              << changeId << "\n";
  }
  if (status != kExitOk || !aFlags.wait_) {
    return status;
  }
  return WaitUntilInForce(aFlags) ? kExitOk : kExitUnavailable;
}

int
RunGet(const OperatorFlags& aFlags)
{
  return GetAndPrint(aFlags, "/v1/objects");
}

int
RunHistory(const OperatorFlags& aFlags)
{
  return GetAndPrint(aFlags, "/v1/history");
}

int
RunRollback(const OperatorFlags& aFlags)
{
  HttpRequest request;
  request.method_ = HttpMethod::Post;
  request.target_ =
    "/v1/rollback?generation=" + std::to_string(aFlags.generation_);
  request.fields_.push_back({ "Change-Id", ChangeIdOf(aFlags) });
  return CallAndPrint(aFlags, request);
}

int
RunStatus(const OperatorFlags& aFlags)
{
  return GetAndPrint(aFlags, "/v1/status");
}

int
RunDrain(const OperatorFlags& aFlags)
{
  HttpRequest request;
  request.method_ = HttpMethod::Post;
  request.target_ = "/v1/drain";
  return CallAndPrint(aFlags, request);
}

int
RunEntries(const OperatorFlags& aFlags)
{
  return GetAndPrint(aFlags, "/v1/entries");
}

} // namespace camphorfield
