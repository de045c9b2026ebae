// What the statuses of answers say of their requests.
#include "core/answer_status.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

TEST_GROUP(AnswerStatus){};

namespace {

struct StatusCase
{
  std::uint32_t first_;
  std::uint32_t last_;
  StatusClass class_;
};

constexpr StatusCase kStatusCases[] = {
  { 0, 199, StatusClass::Invalid },   { 200, 299, StatusClass::Success },
  { 300, 407, StatusClass::Failure }, { 408, 408, StatusClass::PromisedNotRun },
  { 409, 420, StatusClass::Failure }, { 421, 421, StatusClass::PromisedNotRun },
  { 422, 428, StatusClass::Failure }, { 429, 429, StatusClass::PromisedNotRun },
  { 430, 502, StatusClass::Failure }, { 503, 503, StatusClass::PromisedNotRun },
  { 504, 599, StatusClass::Failure }, { 600, 1100, StatusClass::Invalid },
};

} // namespace

TEST(AnswerStatus, EachStatusHasOneClass)
{
  for (const StatusCase& item : kStatusCases) {
    for (std::uint32_t status = item.first_; status <= item.last_; ++status) {
      LONGS_EQUAL(item.class_, ClassifyStatus(status));
    }
  }
}
