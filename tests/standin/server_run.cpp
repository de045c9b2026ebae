// Runs requests in the slots of a simulated backend server: service times,
// deadlines, cancels and crashes.
#include "standin/server_internal.h"

#include <algorithm>

namespace camphorfield::standin {

namespace {

using Work = std::list<FarmRequest>::iterator;

std::int64_t
UnixMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** An order counts as run from the moment that it begins to run. */
void
RecordRun(FarmServer& aServer, const FarmRequest& aWork)
{
  if (!aWork.isOrder_) {
    ++aServer.serverStats_.queries_;
    return;
  }
  ++aServer.serverStats_.orders_;
  const std::string key =
    FindHeader(aWork.request_.headers_, "idempotency-key");
  aServer.farm_->orders_[key].push_back(
    { aServer.spec_.name_,
      UnixMicros(),
      std::hash<std::string>{}(aWork.request_.body_) });
}

bool
HasCrashMarker(const FarmServer& aServer, const FarmRequest& aWork)
{
  const std::string& marker = aServer.behaviour_.crashMarker_;
  return !marker.empty() &&
         aWork.request_.body_.find(marker) != std::string::npos;
}

void
EndRun(FarmServer& aServer, Work aWork, bool aIsExpired)
{
  FarmRequest work = std::move(*aWork);
  aServer.running_.erase(aWork);
  HttpReply reply;
  if (aIsExpired) {
    ++aServer.serverStats_.expired_;
    reply = { 504 };
    AddServerLabels(aServer, reply);
  } else {
    reply = CompletedReply(aServer, work);
  }
  FillSlots(aServer);
  work.respond_(reply);
}

// The request may have been erased after its timer fired and before this call,
// so it is looked up by id.
void
OnServiceTimeOver(FarmServer& aServer, std::uint64_t aId, bool aIsExpired)
{
  const auto work =
    std::find_if(aServer.running_.begin(),
                 aServer.running_.end(),
                 [aId](const FarmRequest& aWork) { return aWork.id_ == aId; });
  if (work != aServer.running_.end()) {
    EndRun(aServer, work, aIsExpired);
  }
}

void
StartRun(FarmServer& aServer, Work aWork)
{
  RecordRun(aServer, *aWork);
  Clock::duration span = DrawServiceTime(aServer);
  // An order always runs to its end: stopping it would leave a partial effect.
  const bool isStoppable =
    !aWork->isOrder_ && !aServer.behaviour_.ignoresDeadline_;
  const bool isExpired = isStoppable && Clock::now() + span > aWork->deadline_;
  if (isExpired) {
    span = std::max(aWork->deadline_ - Clock::now(), Clock::duration::zero());
  }
  aServer.serverStats_.busyMs_ +=
    std::chrono::duration<double, std::milli>(span).count();
  aWork->timer_ =
    std::make_unique<boost::asio::steady_timer>(aServer.farm_->context_, span);
  const std::uint64_t id = aWork->id_;
  aWork->timer_->async_wait([&aServer, id, isExpired](auto aError) {
    if (!aError) {
      OnServiceTimeOver(aServer, id, isExpired);
    }
  });
}

bool
IsPastDeadline(const FarmServer& aServer, const FarmRequest& aWork)
{
  return !aServer.behaviour_.ignoresDeadline_ &&
         Clock::now() >= aWork.deadline_;
}

} // namespace

void
FillSlots(FarmServer& aServer)
{
  while (!aServer.waiting_.empty() &&
         aServer.running_.size() < aServer.spec_.slots_) {
    const Work work = aServer.waiting_.begin();
    if (IsPastDeadline(aServer, *work)) {
      const HttpRespond respond = std::move(work->respond_);
      aServer.waiting_.erase(work);
      respond(NotRunReply(aServer, 503));
      continue;
    }
    aServer.running_.splice(aServer.running_.end(), aServer.waiting_, work);
    if (HasCrashMarker(aServer, *work)) {
      RecordRun(aServer, *work);
      CrashServer(aServer);
      return;
    }
    StartRun(aServer, work);
  }
}

void
CancelRequest(FarmServer& aServer, const std::string& aRequestId)
{
  const auto matches = [&aRequestId](const FarmRequest& aWork) {
    return FindHeader(aWork.request_.headers_, "x-request-id") == aRequestId;
  };
  const auto waiting =
    std::find_if(aServer.waiting_.begin(), aServer.waiting_.end(), matches);
  if (waiting != aServer.waiting_.end()) {
    ++aServer.serverStats_.cancelled_;
    const HttpRespond respond = std::move(waiting->respond_);
    aServer.waiting_.erase(waiting);
    respond(NotRunReply(aServer, 503));
    return;
  }
  const auto running =
    std::find_if(aServer.running_.begin(), aServer.running_.end(), matches);
  if (running == aServer.running_.end() || running->isOrder_) {
    return;
  }
  ++aServer.serverStats_.cancelled_;
  const HttpRespond respond = std::move(running->respond_);
  aServer.running_.erase(running);
  HttpReply reply{ 500, { { "X-Cancelled", "1" } } };
  AddServerLabels(aServer, reply);
  respond(reply);
  FillSlots(aServer);
}

} // namespace camphorfield::standin
