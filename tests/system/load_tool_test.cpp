// The load tool must detect mixed and mislabelled answers.
#include "standin/load_type.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace camphorfield::standin;

namespace {

HttpOutcome
Answered(const std::string& aBody)
{
  HttpOutcome outcome;
  outcome.answered_ = true;
  outcome.reply_.body_ = aBody;
  return outcome;
}

std::string
TwoShards(int aFirstVersion, const char* aSecondName, const char* aComplete)
{
  return R"({"code":1000,"run":"ran","version":7,"uncovered":[],"complete":)" +
         std::string(aComplete) +
         R"(,"covered":[{"shard":"a","body":{"shard":"a","version":)" +
         std::to_string(aFirstVersion) +
         R"(}},{"shard":"b","body":{"version":7,"shard":")" + aSecondName +
         R"("}}]})";
}

} // namespace

TEST_GROUP(LoadTool){};

TEST(LoadTool, FindsAnswersThatContradictTheirLabels)
{
  struct Case
  {
    const char* name_;
    std::string body_;
    std::uint64_t code_;
    const char* run_;
    bool mixed_;
    bool mislabelled_;
  };
  const Case cases[] = {
    { "correct labels", TwoShards(7, "b", "true"), 1000, "ran", false, false },
    { "mixed versions", TwoShards(8, "b", "true"), 1000, "ran", true, false },
    { "wrong shard", TwoShards(7, "c", "true"), 1000, "ran", false, true },
    { "wrong completeness",
      TwoShards(7, "b", "false"),
      1000,
      "ran",
      false,
      true },
    { "invalid JSON", "{", 0, "none", false, false },
    { "wrong type", R"({"code":"x"})", 0, "none", false, true },
    { "refused",
      R"({"code":1201,"run":"not_run"})",
      1201,
      "not_run",
      false,
      false },
  };
  for (const Case& row : cases) {
    LoadRequest request;
    const Attempt attempt = ReadAnswer(Answered(row.body_), request);
    CHECK_EQUAL_TEXT(row.code_, attempt.code_, row.name_);
    STRCMP_EQUAL_TEXT(row.run_, attempt.run_.c_str(), row.name_);
    CHECK_EQUAL_TEXT(row.mixed_, request.isMixed_, row.name_);
    CHECK_EQUAL_TEXT(row.mislabelled_, request.isMislabelled_, row.name_);
  }
}

TEST(LoadTool, MissingAnswerHasRunNone)
{
  LoadRequest request;
  const Attempt attempt = ReadAnswer(HttpOutcome(), request);
  CHECK_EQUAL(0U, attempt.code_);
  STRCMP_EQUAL("none", attempt.run_.c_str());
}

TEST(LoadTool, KeysAreUuidsOfVersionSeven)
{
  std::mt19937_64 rng(5);
  std::set<std::string> keys;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = MakeUuid7(rng);
    CHECK_EQUAL(36U, key.size());
    CHECK_EQUAL('7', key[14]);
    CHECK_TRUE(std::string("89ab").find(key[19]) != std::string::npos);
    CHECK_TRUE(keys.insert(key).second);
  }
}
