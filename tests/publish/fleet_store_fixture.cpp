// Simulated store of a fleet, and the documents that tests put into it.
#include "publish/fleet_fixture.h"

#include "core/digest_func.h"
#include "core/hash_func.h"
#include "object/object_json.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

namespace camphorfield::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxValueBytes = 1024UL * 1024;
constexpr Duration kPollPeriod = std::chrono::milliseconds(5);

bool
IsSwap(const PlatformCall& aCall)
{
  return aCall.key_.ends_with("/config/pointer") &&
         (aCall.op_ == PlatformOp::Create || aCall.op_ == PlatformOp::Update);
}

PlatformReply
ReplyTo(const PlatformCall& aCall, PlatformStatus aStatus)
{
  return { aCall.id_, aCall.user_, aCall.op_, aStatus, aCall.key_, {}, {} };
}

} // namespace

PlatformReply
Fleet::Execute(const PlatformCall& aCall)
{
  PlatformReply reply = ReplyTo(aCall, PlatformStatus::Ok);
  const bool read =
    aCall.op_ == PlatformOp::Get || aCall.op_ == PlatformOp::Watch;
  if (aCall.op_ == PlatformOp::List) {
    for (const auto& [key, object] : store_.objects_) {
      if (key.starts_with(aCall.key_)) {
        reply.objects_.push_back(object);
      }
    }
    return reply;
  }
  auto& objects = read && store_.stale_ ? *store_.stale_ : store_.objects_;
  const auto found = objects.find(aCall.key_);
  const std::uint64_t version =
    found == objects.end() ? 0 : found->second.version_;
  if (read) {
    reply.status_ =
      version == 0 ? PlatformStatus::NotFound : PlatformStatus::Ok;
    if (version != 0) {
      reply.objects_.push_back(found->second);
    }
    return reply;
  }
  const std::uint64_t wanted =
    aCall.op_ == PlatformOp::Create ? 0 : aCall.expectedVersion_;
  if (version != wanted) {
    reply.status_ = PlatformStatus::Conflict;
    return reply;
  }
  if (aCall.op_ == PlatformOp::Delete) {
    objects.erase(found);
    return reply;
  }
  CHECK_TRUE(aCall.value_.size() <= kMaxValueBytes);
  store_.bytesWritten_ += aCall.value_.size();
  PlatformObject object{ aCall.key_, ++store_.lastVersion_, aCall.value_ };
  objects[aCall.key_] = object;
  object.value_.clear();
  reply.objects_.push_back(std::move(object));
  return reply;
}

void
Fleet::Reply(std::size_t aDaemon,
             std::uint64_t aRestarts,
             const PlatformReply& aReply)
{
  if (daemons_[aDaemon].restarts_ == aRestarts) {
    Deliver(aDaemon, aReply);
  }
}

void
Fleet::PollWatch(std::size_t aDaemon,
                 std::uint64_t aRestarts,
                 const PlatformCall& aCall,
                 TimePoint aUntil)
{
  if (store_.down_ || daemons_[aDaemon].cutFromStore_) {
    Reply(aDaemon, aRestarts, ReplyTo(aCall, PlatformStatus::Unreachable));
    return;
  }
  const PlatformReply reply = Execute(aCall);
  const std::uint64_t version =
    reply.objects_.empty() ? 0 : reply.objects_.front().version_;
  if (version != aCall.expectedVersion_) {
    Reply(aDaemon, aRestarts, reply);
    return;
  }
  if (now_ >= aUntil) {
    Reply(aDaemon, aRestarts, ReplyTo(aCall, PlatformStatus::Unchanged));
    return;
  }
  Post(kPollPeriod,
       [=, this] { PollWatch(aDaemon, aRestarts, aCall, aUntil); });
}

void
Fleet::StartPlatformCall(std::size_t aDaemon, const PlatformCall& aCall)
{
  FakeDaemon& daemon = daemons_[aDaemon];
  const std::uint64_t restarts = daemon.restarts_;
  store_.calls_[static_cast<std::size_t>(aCall.op_)]++;
  store_.callsInSecond_[now_.time_since_epoch() / std::chrono::seconds(1)]++;
  const auto reply = [=, this](PlatformStatus aStatus, Duration aDelay) {
    Post(aDelay,
         [=, this] { Reply(aDaemon, restarts, ReplyTo(aCall, aStatus)); });
  };
  const bool swap = IsSwap(aCall);
  if (store_.down_ || daemon.cutFromStore_) {
    reply(PlatformStatus::Unreachable, aCall.timeout_);
    return;
  }
  if (store_.throttle_ > 0) {
    store_.throttle_--;
    reply(PlatformStatus::Throttled, store_.latency_);
    return;
  }
  if (swap && store_.loseRequests_ > 0) {
    store_.loseRequests_--;
    if (store_.lateEffect_.count() > 0) {
      Post(store_.lateEffect_, [=, this] { Execute(aCall); });
    }
    reply(PlatformStatus::Unreachable, aCall.timeout_);
    return;
  }
  Post(store_.latency_, [=, this] {
    if (aCall.op_ == PlatformOp::Watch) {
      PollWatch(aDaemon, restarts, aCall, now_ + aCall.timeout_);
      return;
    }
    const PlatformReply done = Execute(aCall);
    if (swap && store_.downAfterSwap_) {
      store_.downAfterSwap_ = false;
      store_.down_ = true;
    }
    if (swap && store_.loseReplies_ > 0) {
      store_.loseReplies_--;
      reply(PlatformStatus::Unreachable, aCall.timeout_);
      return;
    }
    Post(store_.latency_, [=, this] { Reply(aDaemon, restarts, done); });
  });
}

std::uint64_t
Fleet::StoreCalls() const
{
  std::uint64_t sum = 0;
  for (const std::uint64_t calls : store_.calls_) {
    sum += calls;
  }
  return sum;
}

void
Fleet::ResetCounts()
{
  store_.calls_ = {};
  store_.callsInSecond_.clear();
  for (FakeDaemon& daemon : daemons_) {
    daemon.peerMessages_ = 0;
    daemon.peerBytes_ = 0;
  }
}

std::string
BaseDocument()
{
  return R"({"based_on":0,"put":[
{"kind":"index","name":"tapes","versions":[
 {"version":7,"shards":[{"name":"s0","service":"desk-0"},
                        {"name":"s1","service":"desk-1"}]}]},
{"kind":"service","name":"desk-0","servers":[
 {"name":"desk-0a","address":"10.0.0.1:80","failure_domain":"fd-0"},
 {"name":"desk-0b","address":"10.0.0.2:80","failure_domain":"fd-1"}]},
{"kind":"service","name":"desk-1","servers":[
 {"name":"desk-1a","address":"10.0.0.3:80","failure_domain":"fd-0"},
 {"name":"desk-1b","address":"10.0.0.4:80","failure_domain":"fd-1"}]},
{"kind":"limits","name":"normal"},
{"kind":"limits","name":"batch"},
{"kind":"route","name":"search","mode":"query","index":"tapes",
 "limits":"normal","deadline_ms":500,"soft_answer_ms":100},
{"kind":"route","name":"reorder","mode":"order","service":"desk-0",
 "limits":"normal","deadline_ms":2000}]})";
}

std::string
LimitsDocument(const std::string& aName,
               std::uint32_t aInFlight,
               std::uint64_t aBasedOn)
{
  return R"({"based_on":)" + std::to_string(aBasedOn) +
         R"(,"put":[{"kind":"limits","name":")" + aName +
         R"(","max_in_flight":)" + std::to_string(aInFlight) + "}]}";
}

std::uint64_t
NumberOf(const OperatorAnswer& aAnswer, const std::string& aField)
{
  const boost::json::value answer = boost::json::parse(aAnswer.text_);
  const boost::json::value* field = answer.get_object().if_contains(aField);
  return field == nullptr ? 0 : field->to_number<std::uint64_t>();
}

} // namespace camphorfield::test
