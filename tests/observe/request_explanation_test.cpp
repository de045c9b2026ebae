// An operator must find the cause of a failed request from its id and the log
// lines alone.
#include "ops/request_explanation.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

const std::vector<std::string> kLog{
  R"({"time_us":1000000,"daemon":"g-1","message":"gateway started"})",
  R"({"time_us":2000000,"daemon":"g-1","message":"server","server":"i-1","service":"s1","change":"ejected","reason":"it accepts no connections"})",
  R"({"time_us":2000000,"daemon":"g-2","message":"server","server":"i-1","service":"s1","change":"ejected","reason":"seen by another"})",
  R"({"time_us":2100000,"daemon":"g-1","message":"server","server":"i-9","service":"s9","change":"ejected","reason":"not asked"})",
  R"(2.30 g-1 {"time_us":2300000,"daemon":"g-1","message":"request","request":"late","route":"r","outcome":"merged","status":"0","version":"4","took_us":"107400","late":"true","shards":"3","covered":"2","sends":"3","hedges":"0","waited_before_us":"137000","reason":"s1 unanswered sends 1 at i-1; s2 answered sends 2 at i-2 i-3"})",
  R"({"time_us":2400000,"daemon":"g-1","message":"request","request":"refused","route":"r","outcome":"overloaded","status":"0","version":"4","took_us":"0","shards":"0","covered":"0","sends":"0","hedges":"0","reason":"in flight 3 of 2"})",
  R"({"time_us":2500000,"daemon":"g-1","message":"request","request":"lost","route":"p","outcome":"failed","status":"0","version":"4","took_us":"25400","shards":"1","covered":"0","sends":"1","hedges":"0","reason":"s1 failed sends 1 at i-1"})",
  "not json",
  "{\"time_us\":\"cut off",
};

/** Request and the texts that its explanation must and must not contain. */
struct ExplanationCase
{
  const char* request_;
  std::vector<std::string> contains_;
  std::vector<std::string> omits_;
};

} // namespace

TEST_GROUP(RequestExplanation){};

TEST(RequestExplanation, ExplainsOutcomeAndCause)
{
  const std::vector<ExplanationCase> cases{
    { "late",
      { "late for its objective",
        "137.0 ms in earlier attempts",
        "2 of 3 parts",
        "s1 unanswered sends 1 at i-1",
        "server i-1 of s1: ejected (it accepts no connections)" },
      { "i-9", "seen by another" } },
    { "refused",
      { "as many requests of the route in flight",
        "it did not run",
        "in flight 3 of 2" },
      { "server i-1" } },
    { "lost",
      { "it may have run", "server i-1 of s1: ejected" },
      { "i-9", "in flight 3 of 2" } },
  };
  for (const ExplanationCase& item : cases) {
    const auto explanation = ExplainRequest(kLog, item.request_);
    CHECK_TEXT(explanation.ok(), item.request_);
    for (const std::string& text : item.contains_) {
      CHECK_TEXT(explanation->find(text) != std::string::npos, text.c_str());
    }
    for (const std::string& text : item.omits_) {
      CHECK_TEXT(explanation->find(text) == std::string::npos, text.c_str());
    }
  }
}

TEST(RequestExplanation, CausesComeBeforeTheRequest)
{
  const auto explanation = ExplainRequest(kLog, "lost");
  CHECK_TRUE(explanation.ok());
  CHECK_TRUE(explanation->find("server i-1") <
             explanation->find("request on route"));
}

TEST(RequestExplanation, UnknownRequestIsNotFound)
{
  CHECK_TRUE(absl::IsNotFound(ExplainRequest(kLog, "nobody").status()));
}
