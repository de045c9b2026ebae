// Evidence joined by several daemons must not depend on the order of reports.
#include "core/crash_evidence.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>
#include <vector>

using namespace camphorfield;

TEST_GROUP(CrashEvidence){};

TEST(CrashEvidence, OrderAndRepetitionOfReportsChangeTheResult)
{
  std::mt19937_64 rng(3);
  for (int round = 0; round < 300; ++round) {
    std::vector<CrashEvidence> reports;
    for (int i = 0; i < 6; ++i) {
      CrashEvidence report;
      AddCrash(
        report,
        { 1 + rng() % 9, 1 + rng() % 5, rng() % 6, rng() % 6, rng() % 6 });
      AddCrash(
        report,
        { 1 + rng() % 9, 1 + rng() % 5, rng() % 6, rng() % 6, rng() % 6 });
      if (rng() % 5 == 0) {
        RefuteEvidence(report);
        AddCrash(
          report,
          { 1 + rng() % 9, 1 + rng() % 5, rng() % 6, rng() % 6, rng() % 6 });
      }
      reports.push_back(report);
    }
    CrashEvidence first;
    CrashEvidence second;
    for (const CrashEvidence& report : reports) {
      JoinEvidence(first, report);
    }
    std::shuffle(reports.begin(), reports.end(), rng);
    for (const CrashEvidence& report : reports) {
      CrashEvidence pair = report;
      JoinEvidence(pair, reports[rng() % reports.size()]);
      JoinEvidence(second, pair);
    }
    CHECK_TRUE(first == second);
    CHECK_FALSE(JoinEvidence(first, second));
  }
}

TEST(CrashEvidence, ConclusiveWithoutThreeServersAndTwoRequests)
{
  struct Case
  {
    const char* name_;
    std::vector<std::uint64_t> servers_;
    std::vector<std::uint64_t> requests_;
    bool conclusive_;
    std::vector<std::uint64_t> moments_ = {};
  };
  const std::vector<Case> cases{
    { "nothing", {}, {}, false },
    { "one query on servers that crash together",
      { 1, 2, 3 },
      { 9, 9, 9 },
      false },
    { "one server seen by three daemons", { 1, 1, 1 }, { 7, 8, 9 }, false },
    { "two servers", { 1, 2, 2 }, { 7, 8, 9 }, false },
    { "three servers, two requests", { 1, 2, 3 }, { 7, 8, 8 }, true },
    { "shared content, two moments",
      { 1, 2, 3 },
      { 7, 8, 9 },
      false,
      { 5, 6, 6 } },
    { "shared content, a loss of power that takes two seconds",
      { 1, 2, 3 },
      { 7, 8, 9 },
      false,
      { 5, 8, 8 } },
    { "shared content, two moments far apart",
      { 1, 2, 3 },
      { 7, 8, 9 },
      true,
      { 5, 9, 9 } },
    { "shared content, three moments",
      { 1, 2, 3 },
      { 7, 8, 9 },
      true,
      { 5, 6, 7 } },
  };
  for (const Case& item : cases) {
    CrashEvidence evidence;
    for (std::size_t i = 0; i < item.servers_.size(); ++i) {
      AddCrash(evidence,
               { item.servers_[i],
                 item.requests_[i],
                 item.moments_.empty() ? 0 : item.moments_[i] });
    }
    CHECK_TEXT(IsConclusive(evidence) == item.conclusive_, item.name_);
    CHECK_TEXT(RefuteEvidence(evidence) != item.servers_.empty(), item.name_);
    CHECK_FALSE_TEXT(IsConclusive(evidence), item.name_);
  }
}

// A silent server's crash is known to lie between two moments only. Three that
// happened together must not look like crashes at different times.
TEST(CrashEvidence, CrashesTogetherSeemApart)
{
  struct Case
  {
    const char* name_;
    std::uint64_t flag_;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> crashes_;
    bool conclusive_;
  };
  const std::vector<Case> cases{
    { "found at different times",
      kExactMoment,
      { { 4, 6 }, { 5, 14 }, { 2, 30 } },
      false },
    { "one lived on for a moment",
      kExactMoment,
      { { 4, 6 }, { 7, 14 }, { 2, 30 } },
      false },
    { "one lived on", kExactMoment, { { 4, 6 }, { 8, 14 }, { 2, 30 } }, true },
    { "last signs of life are unknown",
      kExactMoment,
      { { 0, 6 }, { 0, 14 }, { 0, 30 } },
      false },
    { "shared content, one lived on",
      0,
      { { 4, 6 }, { 9, 14 }, { 2, 30 } },
      false },
    { "shared content, one lived on for two seconds",
      0,
      { { 4, 6 }, { 10, 14 }, { 2, 30 } },
      true },
  };
  for (const Case& item : cases) {
    CrashEvidence evidence;
    std::uint64_t number = 1;
    for (const auto& [aliveAt, crashedBy] : item.crashes_) {
      AddCrash(evidence,
               { number,
                 number,
                 0,
                 aliveAt == 0 ? 0 : aliveAt | item.flag_,
                 crashedBy | item.flag_ });
      ++number;
    }
    CHECK_TEXT(IsConclusive(evidence) == item.conclusive_, item.name_);
    CHECK_TEXT(IsExact(evidence) == (item.flag_ != 0), item.name_);
  }
}
