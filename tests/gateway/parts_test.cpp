// Tests of the small parts of the gateway: merge of records, route match, retry
// budget and directory.
#include "gateway/fleet/directory.h"
#include "gateway/request/retry_budget.h"
#include "gateway/request/route_match.h"
#include "gateway/request/topk_merge.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string
MakeRecord(unsigned char aFirst, unsigned char aLast)
{
  std::string record(kRecordBytes, '\0');
  record.front() = static_cast<char>(aFirst);
  record.back() = static_cast<char>(aLast);
  return record;
}

struct MergeCase
{
  const char* name_;
  std::vector<std::string> parts_;
  std::uint32_t limit_;
  std::string expected_;
};

struct MatchCase
{
  const char* name_;
  const char* host_;
  const char* path_;
  const char* route_; ///< Empty: none.
};

struct SplitCase
{
  const char* name_;
  std::vector<double> weights_;
  std::uint32_t requests_;
};

struct BudgetCase
{
  const char* name_;
  std::uint32_t firsts_;  ///< Per second.
  std::uint32_t daemons_; ///< Daemons with the same load.
};

} // namespace

TEST_GROUP(TopRecords){};

TEST(TopRecords, GreatestFirstOfAllParts)
{
  const std::string low = MakeRecord(1, 0);
  const std::string high = MakeRecord(0xff, 0);
  const std::string higher = MakeRecord(0xff, 1);
  const std::vector<MergeCase> cases{
    { "no part", {}, 3, "" },
    { "bytes compare unsigned", { low + high }, 2, high + low },
    { "last byte decides", { high, higher }, 1, higher },
    { "duplicates are kept", { low, low, high }, 3, high + low + low },
    { "partial record is ignored", { high + "tail", low }, 5, high + low },
    { "fewer than wanted", { low }, 20, low },
    { "none wanted", { low }, 0, "" },
  };
  for (const MergeCase& item : cases) {
    const std::vector<std::string_view> parts(item.parts_.begin(),
                                              item.parts_.end());
    CHECK_TEXT(MergeTopRecords(parts, item.limit_) == item.expected_,
               item.name_);
  }
}

TEST_GROUP(RouteMatch){};

TEST(RouteMatch, LongestPrefixOfTheHost)
{
  GatewayConfig config;
  const auto add = [&config](const char* aName, const char* aPrefix) {
    GatewayRoute route;
    route.name_ = aName;
    route.host_ = "shop.example";
    route.prefix_ = aPrefix;
    config.routes_.push_back(route);
  };
  add("outer", "/a/");
  add("inner", "/a/b/");
  add("other", "/c/");
  const std::vector<MatchCase> cases{
    { "outer", "shop.example", "/a/x", "outer" },
    { "longest prefix wins", "shop.example", "/a/b/x", "inner" },
    { "prefix ends with a slash", "shop.example", "/a/bx", "outer" },
    { "incomplete prefix", "shop.example", "/c", "" },
    { "case of the host is ignored", "SHOP.Example", "/c/", "other" },
    { "port of the host is ignored", "shop.example:8104", "/c/", "other" },
    { "another host", "else.example", "/a/", "" },
    { "no host", "", "/a/", "" },
  };
  for (const MatchCase& item : cases) {
    const GatewayRoute* found = FindRoute(config, item.host_, item.path_);
    STRCMP_EQUAL_TEXT(
      item.route_, found == nullptr ? "" : found->name_.c_str(), item.name_);
  }
}

TEST(RouteMatch, SharesHoldOverFewRequests)
{
  const std::vector<SplitCase> cases{
    { "halves", { 1, 1 }, 10 },
    { "one to nine", { 1, 9 }, 20 },
    { "three", { 5, 3, 2 }, 30 },
    { "a share without weight", { 0, 4 }, 12 },
  };
  for (const SplitCase& item : cases) {
    GatewayRoute route;
    double total = 0.0;
    for (const double weight : item.weights_) {
      route.to_.push_back({ std::to_string(route.to_.size()), weight });
      total += weight;
    }
    RouteLoad load;
    std::map<std::string, std::uint32_t> sent;
    for (std::uint32_t i = 0; i < item.requests_; ++i) {
      ++sent[ChooseService(route, load)];
    }
    for (const ServiceShare& share : route.to_) {
      DOUBLES_EQUAL_TEXT(item.requests_ * share.weight_ / total,
                         sent[share.service_],
                         1.0,
                         item.name_);
    }
  }
}

TEST_GROUP(RetryBudget){};

// Limit of the platform: in any window of 10 s, over all daemons, at most 0.2
// extra requests per first request plus the slack.
TEST(RetryBudget, NoWindowExceedsTheBound)
{
  const std::vector<BudgetCase> cases{
    { "busy", 90, 6 },
    { "idle", 0, 6 },
    { "alone", 20, 1 },
    { "large fleet", 1, 80 },
  };
  constexpr int kSteps = 400; // of 100 ms
  for (const BudgetCase& item : cases) {
    const BudgetLimits limits{ 0.2, 52.0, seconds(10) };
    RetryBudget budget;
    std::vector<double> extra(kSteps, 0.0);
    std::vector<double> first(kSteps, 0.0);
    double pending = 0.0;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now{ milliseconds(100 * (step + 1)) };
      for (pending += item.firsts_ / 10.0; pending >= 1.0; pending -= 1.0) {
        CountFirst(budget, limits, now);
        ++first[step];
      }
      while (TakeExtra(budget, limits, 1.0 / item.daemons_, now)) {
        ++extra[step];
      }
    }
    for (int end = 100; end <= kSteps; ++end) {
      double extras = 0.0;
      double firsts = 0.0;
      for (int step = end - 100; step < end; ++step) {
        extras += extra[step];
        firsts += first[step];
      }
      CHECK_TEXT(item.daemons_ * extras <=
                   0.2 * item.daemons_ * firsts + limits.slack_,
                 item.name_);
    }
  }
}

TEST(RetryBudget, RefillsAfterTheWindow)
{
  const BudgetLimits limits{ 0.2, 10.0, seconds(10) };
  RetryBudget budget;
  while (TakeExtra(budget, limits, 1.0, TimePoint{ seconds(1) })) {
  }
  CHECK_FALSE(TakeExtra(budget, limits, 1.0, TimePoint{ seconds(10) }));
  CHECK_TRUE(TakeExtra(budget, limits, 1.0, TimePoint{ seconds(12) }));
}

TEST_GROUP(Directory){};

TEST(Directory, ListsDaemonsThatAreAliveAndReady)
{
  struct Case
  {
    const char* name_;
    MemberState state_;
    bool ready_;
    const char* address_;
    bool listed_;
  };
  const std::vector<Case> cases{
    { "alive", MemberState::Alive, true, "10.0.0.1:80", true },
    { "not ready", MemberState::Alive, false, "10.0.0.1:80", false },
    { "suspect", MemberState::Suspect, true, "10.0.0.1:80", false },
    { "leaving", MemberState::Leaving, true, "10.0.0.1:80", false },
    { "record not whole yet", MemberState::Alive, true, "", false },
  };
  for (const Case& item : cases) {
    MemberRecord member;
    member.state_ = item.state_;
    member.ready_ = item.ready_;
    member.callerAddress_ = item.address_;
    const EntriesAnswer answer = ListEntryDaemons({ member }, 8);
    LONGS_EQUAL_TEXT(item.listed_ ? 1 : 0, answer.entries_.size(), item.name_);
    CHECK_TEXT((answer.code_ == ResultCode::Ok) == item.listed_, item.name_);
  }
}
