// Servers that send an answer again where the next one is expected: an answer
// must not be taken for that to another send of the same request.
#include "gateway/replay_fixture.h"
#include "gateway/shared_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A server that sheds the first requests and sends each answer twice. */
struct CopyCase
{
  const char* name_;
  std::size_t servers_;
  std::uint32_t sheds_; ///< Requests that each server sheds.
  std::uint32_t maxConnections_;
  bool hidesIds_;
};

} // namespace

TEST_GROUP(Copy){};

// The copy of a "not run" answer arrives while the same request runs.
TEST(Copy, RefusalIsTakenForTheAnswerToTheNextSend)
{
  const std::vector<CopyCase> cases{
    { "one server, spare connections", 1, 1, 25, false },
    { "one server, two refusals", 1, 2, 25, false },
    { "one server, one connection", 1, 1, 1, false },
    { "two servers", 2, 1, 25, false },
    { "two servers, one connection each", 2, 2, 1, false },
    { "no ids in answers", 1, 1, 25, true },
    { "no ids, one connection", 1, 1, 1, true },
  };
  for (const CopyCase& item : cases) {
    Replay replay(1, 3);
    for (std::size_t i = 0; i < item.servers_; ++i) {
      ModelServer& server = replay.AddServer("shard0", 1.0);
      server.lateCopies_ = true;
      server.hidesIds_ = item.hidesIds_;
      server.sheds_ = item.sheds_;
    }
    replay.Config().services_["shard0"].maxConnections_ = item.maxConnections_;
    replay.SetRoute(MakePlainRoute(RequestKind::NonIdempotent, seconds(2)));
    replay.Publish();
    const std::uint64_t id = replay.SendRequest(0, "/plain/x", seconds(2));
    replay.Advance(seconds(4));
    const auto runs = replay.RunsById().find("r1");
    const std::uint32_t ran =
      runs == replay.RunsById().end() ? 0 : runs->second;
    const ProxyAnswer* answer = replay.AnswerOf(id);
    CHECK_TEXT(answer != nullptr, item.name_);
    CHECK_TEXT(ran <= 1, item.name_);
    CHECK_TEXT(ran == 0 || answer->retryAfter_.count() == 0, item.name_);
    if (!item.hidesIds_) {
      LONGS_EQUAL_TEXT(ProxyCode::Forwarded, answer->code_, item.name_);
    }
  }
}

// Servers at twice their capacity shed a part of the requests, and each sends
// copies. Also guards against new connections for most of the refused sends.
TEST(Copy, OverloadedServersRunARequestTwice)
{
  for (const RequestKind kind :
       { RequestKind::NonIdempotent, RequestKind::Idempotent }) {
    Replay replay(6, 11);
    for (int i = 0; i < 6; ++i) {
      ModelServer& server = replay.AddServer("shard0", 1.0);
      server.queue_ = 1;
      server.lateCopies_ = true;
    }
    replay.SetRoute(MakePlainRoute(kind, seconds(2)));
    replay.Publish();
    const auto results =
      replay.Run({ { "/plain/x", 1200.0, milliseconds(20) } }, seconds(10));
    std::uint64_t connects = 0;
    std::uint64_t shed = 0;
    for (std::size_t i = 0; i < 6; ++i) {
      connects += replay.Daemon(i).stats_.connects_;
      shed += replay.Daemon(i).stats_.shed_;
    }
    // Each refused send has another connection or server to go to.
    CHECK_TRUE(connects * 20 < shed);
    if (kind == RequestKind::NonIdempotent) {
      for (const auto& [id, runs] : replay.RunsById()) {
        LONGS_EQUAL_TEXT(1, runs, id.c_str());
      }
    }
  }
}
