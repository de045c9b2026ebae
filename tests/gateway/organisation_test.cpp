// Keys of organisations: who is refused with which code, what servers get, and
// that no request of a withdrawn key is sent.
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

GatewayRoute
PlainRoute(const std::string& aName, const std::string& aService)
{
  GatewayRoute route;
  route.name_ = aName;
  route.prefix_ = "/" + aName + "/";
  route.timeout_ = seconds(4);
  route.objective_ = milliseconds(400);
  route.maxAttempts_ = 2;
  route.to_.push_back({ aService, 1.0 });
  return route;
}

/** One daemon with a route that needs a key, a public one and a query. */
struct KeyWorld
{
  KeyWorld()
    : replay_(1, 3)
  {
    replay_.AddShards(2);
    replay_.SetRoute(PlainRoute("plain", "shard0"));
    GatewayRoute open = PlainRoute("open", "shard0");
    open.public_ = true;
    replay_.SetRoute(open);
    replay_.SetRoute(MakeQueryRoute(2, 0.5, 5));
    SetKeys({ "key-a" });
    replay_.Publish();
  }
  void SetKeys(const std::vector<std::string>& aKeys)
  {
    replay_.Config().organisations_ = std::vector<Organisation>{
      { "other", { "key-o" }, std::nullopt, 0.0, 0.0 },
      { "name-a", aKeys, std::nullopt, 0.0, 0.0 },
    };
  }
  std::uint64_t Ask(const std::string& aTarget, const std::string& aKey)
  {
    return replay_.SendRequest(0, aTarget, seconds(3), "caller", aKey);
  }
  ProxyCode CodeOf(std::uint64_t aId)
  {
    const ProxyAnswer* answer = replay_.AnswerOf(aId);
    return answer == nullptr ? ProxyCode::End : answer->code_;
  }
  Replay replay_;
};

} // namespace

TEST_GROUP(Organisation){};

// Guards against requests without a valid key that run, valid ones that are
// refused, and a name that servers don't get or that isn't the caller's.
TEST(Organisation, KeysDecideWhoIsServed)
{
  struct Case
  {
    const char* name_;
    const char* target_;
    const char* key_;
    ProxyCode code_;
    const char* tenant_;
  };
  const std::vector<Case> cases{
    { "known", "/plain/x", "key-a", ProxyCode::Forwarded, "name-a" },
    { "of another", "/plain/x", "key-o", ProxyCode::Forwarded, "other" },
    { "query", "/query/x", "key-a", ProxyCode::Merged, "name-a" },
    { "unknown", "/plain/x", "key-b", ProxyCode::Unauthorized, "" },
    { "query, unknown", "/query/x", "key-b", ProxyCode::Unauthorized, "" },
    { "prefix of a key", "/plain/x", "key-", ProxyCode::Unauthorized, "" },
    { "none", "/plain/x", "", ProxyCode::Unauthorized, "" },
    { "public, known", "/open/x", "key-a", ProxyCode::Forwarded, "name-a" },
    { "public, unknown", "/open/x", "key-b", ProxyCode::Forwarded, "" },
    { "public, none", "/open/x", "", ProxyCode::Forwarded, "" },
    { "no route", "/nothing/x", "key-b", ProxyCode::NoRoute, "" },
  };
  for (const Case& item : cases) {
    KeyWorld world;
    const std::uint64_t id = world.Ask(item.target_, item.key_);
    world.replay_.Advance(seconds(2));
    LONGS_EQUAL_TEXT(item.code_, world.CodeOf(id), item.name_);
    const bool served = item.code_ <= ProxyCode::Merged;
    CHECK_EQUAL_TEXT(served, world.replay_.Sends() > 0, item.name_);
    for (const BackendSend& send : world.replay_.SendsSeen()) {
      STRCMP_EQUAL_TEXT(
        item.tenant_, send.organisation_.value_or("-").c_str(), item.name_);
    }
  }
}

// Without organisations nothing may depend on keys.
TEST(Organisation, NoOrganisationsNeedNoKeys)
{
  KeyWorld world;
  world.replay_.Config().organisations_.reset();
  world.replay_.Publish();
  const std::uint64_t id = world.Ask("/plain/x", "");
  world.replay_.Advance(seconds(2));
  LONGS_EQUAL(ProxyCode::Forwarded, world.CodeOf(id));
  CHECK_FALSE(world.replay_.SendsSeen().back().organisation_.has_value());
}

// A daemon that may lack a newer version must not end a caller's tries with
// 401, and one that has the newest must not let it try for ever.
TEST(Organisation, UnknownKeysWhileTablesAreStale)
{
  struct Case
  {
    const char* name_;
    Duration bound_;
    Duration age_;
    bool newer_;
    const char* key_;
    ProxyCode code_;
  };
  const std::vector<Case> cases{
    { "fresh", seconds(5), seconds(2), false, "k", ProxyCode::Unauthorized },
    { "stale", seconds(5), seconds(6), false, "k", ProxyCode::NotReady },
    { "never complete",
      seconds(5),
      Duration::max(),
      false,
      "k",
      ProxyCode::NotReady },
    { "newer one known",
      seconds(5),
      seconds(0),
      true,
      "k",
      ProxyCode::NotReady },
    { "no bound",
      seconds(0),
      seconds(60),
      false,
      "k",
      ProxyCode::Unauthorized },
    { "stale, no key",
      seconds(5),
      seconds(6),
      false,
      "",
      ProxyCode::Unauthorized },
    { "stale, known",
      seconds(5),
      seconds(6),
      false,
      "key-a",
      ProxyCode::Forwarded },
  };
  for (const Case& item : cases) {
    KeyWorld world;
    GatewayState& state = world.replay_.Daemon(0);
    state.settings_.configApply_ = item.bound_;
    GatewaySetTableAge(state, item.age_, item.newer_, world.replay_.Clock());
    const std::uint64_t id = world.Ask("/plain/x", item.key_);
    world.replay_.Advance(seconds(2));
    LONGS_EQUAL_TEXT(item.code_, world.CodeOf(id), item.name_);
    if (item.code_ == ProxyCode::NotReady) {
      CHECK_TEXT(world.replay_.AnswerOf(id)->retryAfter_ >= milliseconds(300),
                 item.name_);
    }
  }
  // A daemon without a configuration.
  Replay empty(1, 3);
  const std::uint64_t id =
    empty.SendRequest(0, "/plain/x", seconds(3), "caller", "k");
  LONGS_EQUAL(ProxyCode::NotReady, empty.AnswerOf(id)->code_);
}

// Guards against requests of a withdrawn key that wait in a queue and are sent
// after the newer version is in force, and against 401 for one that has run.
TEST(Organisation, WithdrawnKeys)
{
  struct Case
  {
    const char* name_;
    const char* target_;
    bool firstSent_;  ///< The server of the first shard takes it at once.
    bool keep_;       ///< The newer version still has the key.
    bool makePublic_; ///< The newer version makes the route public.
    ProxyCode code_;
  };
  const std::vector<Case> cases{
    { "queued", "/plain/x", false, false, false, ProxyCode::Unauthorized },
    { "queued, key stays", "/plain/x", false, true, false, ProxyCode::End },
    { "queued, public now", "/plain/x", false, false, true, ProxyCode::End },
    { "query queued",
      "/query/x",
      false,
      false,
      false,
      ProxyCode::Unauthorized },
    { "query with one shard sent",
      "/query/x",
      true,
      false,
      false,
      ProxyCode::Merged },
  };
  for (const Case& item : cases) {
    KeyWorld world;
    // Nothing can be sent while the servers want no requests.
    for (Backend& backend : world.replay_.Daemon(0).backends_.slots_) {
      const bool first = backend.entry_.service_ == "shard0";
      if (!item.firstSent_ || !first) {
        backend.limit_ = 0.0;
      }
    }
    const std::uint64_t id = world.Ask(item.target_, "key-a");
    const std::uint64_t before = world.replay_.Sends();
    LONGS_EQUAL_TEXT(item.firstSent_ ? 1 : 0, before, item.name_);
    world.SetKeys({ item.keep_ ? "key-a" : "key-new" });
    for (GatewayRoute& route : world.replay_.Config().routes_) {
      route.public_ = route.public_ || item.makePublic_;
    }
    world.replay_.Announce();
    if (!item.firstSent_) {
      LONGS_EQUAL_TEXT(item.code_, world.CodeOf(id), item.name_);
    }
    world.replay_.Advance(seconds(5));
    if (item.code_ != ProxyCode::End) {
      LONGS_EQUAL_TEXT(item.code_, world.CodeOf(id), item.name_);
      LONGS_EQUAL_TEXT(before, world.replay_.Sends(), item.name_);
      LONGS_EQUAL_TEXT(
        1, world.replay_.Daemon(0).stats_.revokedRuns_, item.name_);
    }
    LONGS_EQUAL_TEXT(0, GatewayInFlight(world.replay_.Daemon(0)), item.name_);
  }
}

// An organisation's priority replaces the route's, in both directions.
TEST(Organisation, PriorityTakesPrecedence)
{
  KeyWorld world;
  (*world.replay_.Config().organisations_)[1].priority_ = 0;
  for (GatewayRoute& route : world.replay_.Config().routes_) {
    route.priority_ = 3;
  }
  world.replay_.Announce();
  for (Backend& backend : world.replay_.Daemon(0).backends_.slots_) {
    backend.limit_ = 0.0;
  }
  world.Ask("/plain/x", "key-o");
  world.Ask("/plain/x", "key-a");
  const GatewayState& state = world.replay_.Daemon(0);
  const auto& queue = state.services_[state.serviceNumber_.at("shard0")].queue_;
  LONGS_EQUAL(2, queue.size());
  LONGS_EQUAL(0, std::get<1>(*queue.begin()));
  LONGS_EQUAL(3, std::get<1>(*queue.rbegin()));
}

// Guards against requests above the cap that reach servers, against a token
// that is lost with a request that no server can run, and against requests that
// wait for ever for an owner that doesn't answer.
TEST(Organisation, RatesAreCapped)
{
  struct Case
  {
    const char* name_;
    DaemonId owner_;
    bool serversGone_;
    bool leaves_; ///< The caller of each request, at once.
    std::uint32_t sent_;
    ProxyCode last_;
  };
  const DaemonId self{ 1 };
  const DaemonId other{ 2 };
  const std::vector<Case> cases{
    { "own cap", self, false, false, 8, ProxyCode::RateCapped },
    { "no server", self, true, false, 0, ProxyCode::NoServer },
    // A quarter of the tolerance is this daemon's without an owner.
    { "owner silent", other, false, false, 4, ProxyCode::RateCapped },
    { "owner silent, callers leave", other, false, true, 0, ProxyCode::End },
  };
  for (const Case& item : cases) {
    KeyWorld world;
    GatewayState& state = world.replay_.Daemon(0);
    // Of a burst of 4 and a tolerance of 16, a quarter of which is used.
    state.caps_ = MakeRateCaps({ seconds(5), 0.0, 16.0 }, self);
    Organisation& organisation = (*world.replay_.Config().organisations_)[1];
    organisation.perSecond_ = 1.0;
    organisation.burst_ = 4.0;
    world.replay_.Announce();
    Rng rng(1);
    GatewayDecisions decisions;
    GatewaySetCapView(state,
                      { { item.owner_ }, true, 1 },
                      { world.replay_.Clock(), 0 },
                      rng,
                      decisions);
    world.replay_.Advance(seconds(12));
    if (item.serversGone_) {
      for (Backend& backend : state.backends_.slots_) {
        backend.listed_ = false;
      }
    }
    std::uint64_t last = 0;
    for (int i = 0; i < 12; ++i) {
      last = world.Ask("/plain/x", "key-a");
      if (item.leaves_) {
        world.replay_.CancelRequest(0, last);
      }
    }
    world.replay_.Advance(seconds(2));
    LONGS_EQUAL_TEXT(item.sent_, world.replay_.Sends(), item.name_);
    LONGS_EQUAL_TEXT(item.last_, world.CodeOf(last), item.name_);
    if (item.last_ == ProxyCode::RateCapped) {
      CHECK_TEXT(world.replay_.AnswerOf(last)->retryAfter_.count() > 0,
                 item.name_);
    }
    LONGS_EQUAL_TEXT(0, GatewayInFlight(state), item.name_);
    // The other organisation has no cap.
    const std::uint64_t free = world.Ask("/open/x", "key-o");
    if (!item.serversGone_) {
      world.replay_.Advance(seconds(2));
      LONGS_EQUAL_TEXT(ProxyCode::Forwarded, world.CodeOf(free), item.name_);
    }
  }
}
