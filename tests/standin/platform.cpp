// Serves the object API and the VM list, with outages, delays, rate limits,
// stale reads and lost requests or replies.
#include "standin/json_func.h"
#include "standin/platform_base.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValue = 1U << 20U; ///< Bytes.
constexpr Millis kCopyInterval{ 250 };       ///< Between two copies.
constexpr std::size_t kMaxCopies = 80;       ///< About 20 seconds.
constexpr const char* kObjectsPath = "/v1/objects/";

bool
IsWrite(CallKind aKind)
{
  return aKind == CallKind::Create || aKind == CallKind::Update ||
         aKind == CallKind::Delete;
}

CallKind
ClassifyCall(const HttpRequest& aRequest)
{
  if (aRequest.path_ == "/v1/vms") {
    return CallKind::Vms;
  }
  if (aRequest.path_ == "/v1/list") {
    return CallKind::List;
  }
  if (!aRequest.path_.starts_with(kObjectsPath)) {
    return CallKind::End;
  }
  if (aRequest.method_ == "GET") {
    return aRequest.query_.contains("watch") ? CallKind::Watch : CallKind::Get;
  }
  if (aRequest.method_ == "PUT") {
    return aRequest.headers_.contains("if-none-match") ? CallKind::Create
                                                       : CallKind::Update;
  }
  return aRequest.method_ == "DELETE" ? CallKind::Delete : CallKind::End;
}

bool
AdmitCall(PlatformStandin& aPlatform, CallKind aKind)
{
  const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                                Clock::now().time_since_epoch())
                                .count();
  const PlatformFaults& faults = aPlatform.faults_;
  const bool admitted =
    IsWrite(aKind) ? CountRate(aPlatform.writes_, faults.writesPerS_, second)
                   : CountRate(aPlatform.reads_, faults.readsPerS_, second);
  const CallKind counted = admitted ? aKind : CallKind::Throttled;
  ++aPlatform.counts_[static_cast<std::size_t>(counted)];
  return admitted;
}

HttpReply
ObjectReply(unsigned aStatus, const StoredObject& aObject, bool aWithValue)
{
  HttpReply reply{ aStatus,
                   { { "X-Version", std::to_string(aObject.version_) } },
                   {} };
  if (aWithValue) {
    reply.body_ = *aObject.value_;
  }
  return reply;
}

HttpReply
Get(const PlatformStandin& aPlatform, const std::string& aKey)
{
  const auto& objects = VisibleStore(aPlatform).objects_;
  const auto found = objects.find(aKey);
  return found == objects.end() ? HttpReply{ 404 }
                                : ObjectReply(200, found->second, true);
}

HttpReply
List(const PlatformStandin& aPlatform, const HttpRequest& aRequest)
{
  const auto prefix = aRequest.query_.find("prefix");
  const std::string start =
    prefix == aRequest.query_.end() ? std::string() : prefix->second;
  const auto& objects = VisibleStore(aPlatform).objects_;
  json::array out;
  for (auto it = objects.lower_bound(start);
       it != objects.end() && it->first.starts_with(start);
       ++it) {
    out.push_back({ { "key", it->first },
                    { "version", it->second.version_ },
                    { "value", *it->second.value_ } });
  }
  return { 200, { { "Content-Type", "application/json" } }, serialize(out) };
}

HttpReply
Vms(PlatformStandin& aPlatform)
{
  auto& listings = aPlatform.vms_;
  while (listings.size() > 1 && listings[1].from_ <= Clock::now()) {
    listings.pop_front();
  }
  const bool isShown =
    !listings.empty() && listings.front().from_ <= Clock::now();
  return { 200,
           { { "Content-Type", "application/json" } },
           isShown ? listings.front().json_ : "[]" };
}

/** Save the content before a write, for stale reads. */
void
SaveRecentCopy(PlatformStandin& aPlatform)
{
  const Clock::time_point now = Clock::now();
  auto& recent = aPlatform.recent_;
  if (!recent.empty() && now - recent.back().at_ < kCopyInterval) {
    return;
  }
  recent.push_back(aPlatform.store_);
  recent.back().at_ = now;
  if (recent.size() > kMaxCopies) {
    recent.pop_front();
  }
}

/** Whether the condition of a write holds. */
bool
ConditionHolds(const PlatformStandin& aPlatform,
               CallKind aKind,
               const HttpRequest& aRequest,
               const std::string& aKey)
{
  const auto found = aPlatform.store_.objects_.find(aKey);
  const bool exists = found != aPlatform.store_.objects_.end();
  if (aKind == CallKind::Create) {
    return !exists;
  }
  return exists && std::to_string(found->second.version_) ==
                     FindHeader(aRequest.headers_, "if-match");
}

HttpReply
Write(PlatformStandin& aPlatform,
      CallKind aKind,
      const HttpRequest& aRequest,
      const std::string& aKey)
{
  if (aRequest.body_.size() > kMaxValue) {
    return { 413 };
  }
  if (!ConditionHolds(aPlatform, aKind, aRequest, aKey)) {
    return { 412 };
  }
  SaveRecentCopy(aPlatform);
  const std::uint64_t version = ++aPlatform.store_.revision_;
  if (aKind == CallKind::Delete) {
    aPlatform.store_.objects_.erase(aKey);
    WakeWatches(aPlatform);
    return { 200 };
  }
  StoredObject& object = aPlatform.store_.objects_[aKey];
  object.version_ = version;
  object.value_ = std::make_shared<const std::string>(aRequest.body_);
  HttpReply reply =
    ObjectReply(aKind == CallKind::Create ? 201 : 200, object, false);
  WakeWatches(aPlatform);
  return reply;
}

bool
ShouldLoseRequest(PlatformStandin& aPlatform)
{
  if (aPlatform.faults_.lostRequests_ == 0) {
    return false;
  }
  --aPlatform.faults_.lostRequests_;
  return true;
}

bool
ShouldLoseReply(PlatformStandin& aPlatform)
{
  if (aPlatform.faults_.lostReplies_ > 0) {
    --aPlatform.faults_.lostReplies_;
    return true;
  }
  const double share = aPlatform.faults_.lostReplyShare_;
  return share > 0 &&
         std::uniform_real_distribution<>()(aPlatform.rng_) < share;
}

HttpReply
ServeWrite(PlatformStandin& aPlatform,
           CallKind aKind,
           const HttpRequest& aRequest,
           const std::string& aKey)
{
  HttpReply reply;
  if (ShouldLoseRequest(aPlatform)) {
    reply.replyDelivery_ = ReplyDelivery::Lost;
    return reply;
  }
  reply = Write(aPlatform, aKind, aRequest, aKey);
  if (ShouldLoseReply(aPlatform)) {
    reply.replyDelivery_ = ReplyDelivery::Lost;
  }
  return reply;
}

void
Dispatch(PlatformStandin& aPlatform,
         CallKind aKind,
         const HttpRequest& aRequest,
         const HttpRespond& aRespond)
{
  const std::string key =
    aKind == CallKind::Vms || aKind == CallKind::List
      ? std::string()
      : aRequest.path_.substr(std::string_view(kObjectsPath).size());
  switch (aKind) {
    case CallKind::Get:
      aRespond(Get(aPlatform, key));
      return;
    case CallKind::List:
      aRespond(List(aPlatform, aRequest));
      return;
    case CallKind::Watch:
      StartWatch(aPlatform, aRequest, key, aRespond);
      return;
    case CallKind::Vms:
      aRespond(Vms(aPlatform));
      return;
    default:
      aRespond(ServeWrite(aPlatform, aKind, aRequest, key));
      return;
  }
}

/** Run a function after a delay, at once when there is none. */
void
RunAfter(PlatformStandin& aPlatform, Millis aDelay, std::function<void()> aThen)
{
  if (aDelay.count() == 0) {
    aThen();
    return;
  }
  auto timer =
    std::make_shared<boost::asio::steady_timer>(aPlatform.context_, aDelay);
  timer->async_wait([timer, aThen = std::move(aThen)](auto) { aThen(); });
}

void
ServeOutage(PlatformStandin& aPlatform, const HttpRespond& aRespond)
{
  switch (aPlatform.faults_.outage_) {
    case Outage::Error:
      aRespond({ 503 });
      return;
    case Outage::Drop:
      aRespond({ 503, {}, {}, ReplyDelivery::Lost });
      return;
    default:
      return;
  }
}

} // namespace

bool
CountRate(CallRate& aRate, double aLimit, std::int64_t aSecond)
{
  if (aSecond != aRate.second_) {
    aRate.second_ = aSecond;
    aRate.count_ = 0;
  }
  if (aLimit > 0 && static_cast<double>(aRate.count_) >= aLimit) {
    return false;
  }
  ++aRate.count_;
  aRate.peak_ = std::max(aRate.peak_, aRate.count_);
  return true;
}

const StoreCopy&
VisibleStore(const PlatformStandin& aPlatform)
{
  const auto named = aPlatform.named_.find(aPlatform.faults_.staleCopy_);
  if (named != aPlatform.named_.end()) {
    return named->second;
  }
  if (aPlatform.faults_.stale_.count() == 0) {
    return aPlatform.store_;
  }
  // A copy shows the content just before the write at its time.
  const Clock::time_point at = Clock::now() - aPlatform.faults_.stale_;
  for (const StoreCopy& copy : aPlatform.recent_) {
    if (copy.at_ >= at) {
      return copy;
    }
  }
  return aPlatform.store_;
}

void
ServePlatformCall(PlatformStandin& aPlatform,
                  const HttpRequest& aRequest,
                  const HttpRespond& aRespond)
{
  if (aRequest.path_.starts_with("/admin/")) {
    aRespond(ReplyOrBadRequest(
      [&] { return ServePlatformAdmin(aPlatform, aRequest); }));
    return;
  }
  const CallKind kind = ClassifyCall(aRequest);
  if (kind == CallKind::End) {
    aRespond({ 400 });
    return;
  }
  if (!AdmitCall(aPlatform, kind)) {
    aRespond({ 429 });
    return;
  }
  if (aPlatform.faults_.outage_ != Outage::Off) {
    ServeOutage(aPlatform, aRespond);
    return;
  }
  const Millis slow = aPlatform.faults_.slow_;
  const HttpRespond respond =
    slow.count() == 0
      ? aRespond
      : [&aPlatform, aRespond, slow](const HttpReply& aReply) {
          RunAfter(aPlatform, slow, [aRespond, aReply] { aRespond(aReply); });
        };
  RunAfter(
    aPlatform, aPlatform.faults_.late_, [&aPlatform, kind, aRequest, respond] {
      Dispatch(aPlatform, kind, aRequest, respond);
    });
}

PlatformStandin::PlatformStandin(boost::asio::io_context& aContext,
                                 const std::string& aAddress,
                                 std::uint64_t aSeed)
  : context_(aContext)
  , rng_(aSeed)
  , listener_(
      aContext,
      aAddress,
      { nullptr,
        nullptr,
        [this](const HttpRequest& aRequest, const HttpRespond& aRespond) {
          ServePlatformCall(*this, aRequest, aRespond);
        } })
{
}

} // namespace camphorfield::standin
