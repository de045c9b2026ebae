// Encoding, splitting and assembly of content, with malformed input.
#include "core/digest_func.h"
#include "core/rng_type.h"
#include "object/object_diff.h"
#include "object/object_json.h"
#include "publish/content_func.h"

#include <memory>
#include <set>
#include <string>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

constexpr std::uint64_t kSeed = 99;

ConfigSet
LargeSet(int aObjects)
{
  ConfigSet set;
  for (int i = 0; i < aObjects; i++) {
    LimitsSpec limits;
    limits.name_ = "l" + std::to_string(i);
    PutObject(set, limits);
  }
  return set;
}

Content
ContentOf(const ConfigSet& aSet, std::uint64_t aGeneration)
{
  Content content;
  for (const std::string& text : SplitIntoChunks(aSet)) {
    const std::string digest = DigestText(text);
    content.manifest_.chunks_.push_back({ digest, "key-" + digest });
    content.chunks_[digest] = std::make_shared<const std::string>(text);
  }
  HistoryEntry entry;
  entry.generation_ = Generation{ aGeneration };
  entry.changeId_ = "c";
  entry.digest_ = ManifestDigest(content.manifest_);
  content.pointer_.history_.push_back(entry);
  return content;
}

} // namespace

TEST_GROUP(Content){};

TEST(Content, ChangingOneObjectChangesOneChunk)
{
  const ConfigSet before = LargeSet(5000);
  const std::vector<std::string> chunks = SplitIntoChunks(before);
  const std::set<std::string> old(chunks.begin(), chunks.end());
  CHECK_TRUE(old.size() > 10);
  for (int i = 0; i < 5000; i += 250) {
    ConfigSet after = before;
    after.limits_["l" + std::to_string(i)].maxInFlight_ = 3;
    std::size_t fresh = 0;
    for (const std::string& chunk : SplitIntoChunks(after)) {
      fresh += old.count(chunk) == 0 ? 1 : 0;
      CHECK_TRUE(chunk.size() < 2 * kMaxChunkBytes);
    }
    LONGS_EQUAL(1, fresh);
  }
}

TEST(Content, AssembleSetAppliesChunkDifferences)
{
  const ConfigSet before = LargeSet(2000);
  ConfigSet after = before;
  for (int i = 0; i < 2000; i += 7) {
    after.limits_.erase("l" + std::to_string(i));
  }
  after.limits_["l1"].maxInFlight_ = 3;
  PutObject(after, FleetSpec{ "fleet", 5, 0 });
  const Content one = ContentOf(before, 1);
  const Content two = ContentOf(after, 2);
  CHECK_TRUE(*AssembleSet(one, before, two) == after);
  CHECK_TRUE(*AssembleSet(two, after, one) == before);
  CHECK_TRUE(*AssembleSet({}, {}, two) == after);
  CHECK_TRUE(*AssembleSet(one, before, {}) == ConfigSet{});
}

TEST(Content, TrimHistoryKeepsPointerWithinLimits)
{
  Pointer pointer;
  for (std::uint64_t i = 1; i <= 700; i++) {
    HistoryEntry entry;
    entry.generation_ = Generation{ i };
    entry.changeId_ = std::string(128, 'x');
    entry.touched_.assign(i % 300, "limits/some-name-of-an-object");
    pointer.history_.push_back(entry);
    TrimHistory(pointer);
  }
  CHECK_TRUE(EncodePointer(pointer).size() <= kMaxPointerBytes);
  CHECK_TRUE(pointer.history_.size() <= kMaxHistory);
  LONGS_EQUAL(700, NewestEntry(pointer).generation_.value_);
  LONGS_EQUAL(pointer.dropped_.value_ + 1,
              pointer.history_.front().generation_.value_);
  const absl::StatusOr<Pointer> back = DecodePointer(EncodePointer(pointer));
  STRCMP_EQUAL(EncodePointer(pointer).c_str(), EncodePointer(*back).c_str());
}

TEST(Content, MalformedPointersAreRejected)
{
  for (
    const char* text :
    { "",
      "{}",
      "[]",
      R"({"format":2,"history":[]})",
      R"({"format":1,"dropped":0,"swept":0,"history":[]})",
      R"({"format":1,"dropped":0,"swept":0,"history":[{"generation":1}]})" }) {
    CHECK_FALSE(DecodePointer(text).ok());
  }
  Pointer falling;
  falling.history_.resize(2);
  falling.history_[0].generation_ = Generation{ 5 };
  falling.history_[1].generation_ = Generation{ 4 };
  CHECK_FALSE(DecodePointer(EncodePointer(falling)).ok());
}

TEST(Content, CorruptedBundleNeverDecodesToOtherContent)
{
  const ConfigSet set = LargeSet(20);
  const Content content = ContentOf(set, 3);
  const std::string whole = EncodeBundle(content, nullptr, {});
  CHECK_TRUE(*AssembleSet({}, {}, *DecodeBundle(whole, {})) == set);
  Rng rng{ kSeed };
  for (int round = 0; round < 3000; round++) {
    std::string text = whole;
    text[rng() % text.size()] = static_cast<char>(rng());
    const absl::StatusOr<Content> decoded = DecodeBundle(text, {});
    const bool same = decoded.ok() && NewestEntry(decoded->pointer_).digest_ ==
                                        NewestEntry(content.pointer_).digest_;
    if (same) {
      CHECK_TRUE(*AssembleSet({}, {}, *decoded) == set);
    }
  }
}

TEST(Content, PartialBundleIsCompletedFromOwnContent)
{
  const ConfigSet before = LargeSet(3000);
  ConfigSet after = before;
  after.limits_["l9"].maxInFlight_ = 3;
  const Content own = ContentOf(before, 1);
  const Content newer = ContentOf(after, 2);
  const std::string part = EncodeBundle(newer, &own.manifest_, Generation{ 1 });
  CHECK_TRUE(part.size() * 4 < EncodeBundle(newer, nullptr, {}).size());
  const absl::StatusOr<Content> filled = DecodeBundle(part, own);
  CHECK_TRUE(*AssembleSet(own, before, *filled) == after);
  LONGS_EQUAL(2, filled->pointer_.history_.size());
  // Without the base, the missing parts are detected.
  CHECK_FALSE(DecodeBundle(part, {}).ok());
}
