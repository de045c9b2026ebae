// Long-polling watches of the platform stand-in.
#include "standin/platform_base.h"

#include <algorithm>

namespace camphorfield::standin {

namespace {

constexpr std::int64_t kDefaultWatchMs = 30000;

std::uint64_t
NumberOf(const HttpRequest& aRequest, const char* aName, std::uint64_t aDefault)
{
  const auto found = aRequest.query_.find(aName);
  if (found == aRequest.query_.end()) {
    return aDefault;
  }
  return std::strtoull(found->second.c_str(), nullptr, 10);
}

/** Whether the watched object differs; fills the reply if so. */
bool
HasChanged(const PlatformStandin& aPlatform,
           const std::string& aKey,
           std::uint64_t aVersion,
           HttpReply& aReply)
{
  const auto& objects = VisibleStore(aPlatform).objects_;
  const auto found = objects.find(aKey);
  if (found == objects.end()) {
    aReply = { 404 };
    return aVersion != 0;
  }
  aReply = { 200,
             { { "X-Version", std::to_string(found->second.version_) } },
             *found->second.value_ };
  return found->second.version_ != aVersion;
}

// A change may have answered the watch after its timer fired and before this
// call, so it is looked up by id.
void
EndWatch(PlatformStandin& aPlatform, std::uint64_t aId)
{
  const auto watch = std::find_if(
    aPlatform.watches_.begin(),
    aPlatform.watches_.end(),
    [aId](const WaitingWatch& aWatch) { return aWatch.id_ == aId; });
  if (watch == aPlatform.watches_.end()) {
    return;
  }
  const HttpRespond respond = std::move(watch->respond_);
  aPlatform.watches_.erase(watch);
  respond({ 304 });
}

} // namespace

void
WakeWatches(PlatformStandin& aPlatform)
{
  for (auto it = aPlatform.watches_.begin(); it != aPlatform.watches_.end();) {
    HttpReply reply;
    if (!HasChanged(aPlatform, it->key_, it->version_, reply)) {
      ++it;
      continue;
    }
    const HttpRespond respond = std::move(it->respond_);
    it = aPlatform.watches_.erase(it);
    respond(reply);
  }
}

void
StartWatch(PlatformStandin& aPlatform,
           const HttpRequest& aRequest,
           const std::string& aKey,
           const HttpRespond& aRespond)
{
  const std::uint64_t version = NumberOf(aRequest, "watch", 0);
  HttpReply reply;
  if (HasChanged(aPlatform, aKey, version, reply)) {
    aRespond(reply);
    return;
  }
  const Millis wait(NumberOf(aRequest, "wait_ms", kDefaultWatchMs));
  const std::uint64_t id = aPlatform.nextWatch_++;
  aPlatform.watches_.push_back(
    { id,
      aKey,
      version,
      aRespond,
      boost::asio::steady_timer(aPlatform.context_, wait) });
  aPlatform.watches_.back().timer_.async_wait([&aPlatform, id](auto aError) {
    if (!aError) {
      EndWatch(aPlatform, id);
    }
  });
}

} // namespace camphorfield::standin
