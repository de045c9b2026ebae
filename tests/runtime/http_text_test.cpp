// Parsing and encoding of targets, header fields and addresses.
#include "runtime/address_func.h"
#include "runtime/http_type.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

TEST_GROUP(HttpText){};

namespace {

struct TargetCase
{
  const char* target_;
  const char* path_;
  const char* param_; ///< Value of parameter "p".
};

struct AddressCase
{
  const char* text_;
  bool isValid_;
};

} // namespace

TEST(HttpText, TargetsAreSplitAndDecoded)
{
  constexpr TargetCase kCases[] = {
    { "/a", "/a", "" },
    { "/a?p=1", "/a", "1" },
    { "/a%2Fb?p=x%20y&q", "/a/b", "x y" },
    { "/a?q=1&p=2&p=3", "/a", "2" },
    { "/bad%2", "/bad%2", "" },
    { "/bad%zz?p=%", "/bad%zz", "%" },
    { "", "", "" },
  };
  for (const TargetCase& test : kCases) {
    const HttpTarget target = ParseTarget(test.target_);
    STRCMP_EQUAL(test.path_, target.path_.c_str());
    STRCMP_EQUAL(test.param_,
                 std::string(FindField(target.params_, "p")).c_str());
  }
}

TEST(HttpText, EncodedSegmentsDecodeToThemselves)
{
  std::string all;
  for (int c = 1; c < 256; ++c) {
    all += static_cast<char>(c);
  }
  CHECK_TRUE(ParseTarget("/" + EncodeSegment(all)).path_ == "/" + all);
}

TEST(HttpText, FieldNamesMatchInAnyCase)
{
  const std::vector<HttpField> fields{ { "X-Load", "7" }, { "Bad", "7x" } };
  LONGS_EQUAL(7, FieldNumber(fields, "x-load", 0));
  LONGS_EQUAL(5, FieldNumber(fields, "bad", 5));
  LONGS_EQUAL(5, FieldNumber(fields, "none", 5));
}

TEST(HttpText, Addresses)
{
  constexpr AddressCase kCases[] = {
    { "127.0.0.1:80", true },
    { "[::1]:80", true },
    { "127.0.0.1:0", true },
    { "127.0.0.1", false },
    { "127.0.0.1:", false },
    { ":80", false },
    { "localhost:80", false },
    { "127.0.0.1:65536", false },
    { "127.0.0.1:80x", false },
    { "256.0.0.1:80", false },
    { "", false },
    { "127.0.0.1:-1", false },
  };
  for (const AddressCase& test : kCases) {
    CHECK_TRUE(ParseAddress(test.text_).ok() == test.isValid_);
  }
}
