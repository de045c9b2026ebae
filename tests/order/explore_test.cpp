/** State search: no interleaving may violate an invariant, and with any one
 * guard off the search must find a violation. */
#include "order/explore_fixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace camphorfield;

namespace {

constexpr std::size_t kMaxStates = 2'000'000;
constexpr std::int64_t kMicrosPerMilli = 1000;

/** Key of a request. */
enum class KeyName : std::uint8_t
{
  First,     ///< Plain key.
  Second,    ///< Another plain key; the world has one range.
  AfterJump, ///< Plain key that is new once PrefixOp::Skew moved the clock.
  Token,     ///< Token issued by daemon zero.
  End        ///< Number of keys.
};

/** Request of a case. */
struct CaseRequest
{
  std::size_t daemon_;
  KeyName key_;
};

/** Start and limits of a search. */
struct ExploreCase
{
  const char* name_;
  std::vector<CaseRequest> requests_;
  std::vector<PrefixStep> prefix_;
  ExploreBudget budget_;
  int depth_;
  bool OrderGuards::*guard_; ///< Guard that this case tests, if any.
};

// Daemon zero owns the range at the start. Stale owner: daemon one has taken
// the range over, and daemon zero has not noticed.
const std::vector<PrefixStep> kStaleOwner{ { PrefixOp::FalseDeath, 1 },
                                           { PrefixOp::SettleDaemon, 1 } };

const ExploreCase kCases[] = {
  { "claim before dispatch",
    { { 0, KeyName::First }, { 1, KeyName::First } },
    kStaleOwner,
    { .storeLost_ = 1, .serverFaults_ = 1 },
    16,
    &OrderGuards::claimBeforeDispatch_ },
  { "lost reply",
    { { 0, KeyName::First }, { 1, KeyName::First } },
    kStaleOwner,
    { .storeLost_ = 2, .serverFaults_ = 1 },
    14,
    &OrderGuards::lostReplyIsUnsure_ },
  { "fence",
    { { 0, KeyName::First }, { 1, KeyName::First } },
    kStaleOwner,
    { .storeLost_ = 1, .crashes_ = 1 },
    14,
    &OrderGuards::fenceByOwner_ },
  { "claim without outcome",
    { { 0, KeyName::First }, { 1, KeyName::First } },
    { { PrefixOp::Send, 0 },
      { PrefixOp::Store, 0 },
      { PrefixOp::Deliver, 0 },
      { PrefixOp::FalseDeath, 1 },
      { PrefixOp::SettleDaemon, 1 } },
    { .storeLost_ = 1, .serverFaults_ = 1, .crashes_ = 1 },
    12,
    &OrderGuards::claimIsFinal_ },
  { "abandoned claim",
    { { 0, KeyName::First } },
    {},
    { .storeLost_ = 2, .serverFaults_ = 1, .jumps_ = 3 },
    14,
    &OrderGuards::abandonedIsFinal_ },
  { "late forward",
    { { 1, KeyName::First } },
    {},
    { .peerLost_ = 1, .serverFaults_ = 1, .falseDeaths_ = 1, .jumps_ = 6 },
    12,
    &OrderGuards::openForwardIsUnsure_ },
  { "issuer restarts empty",
    { { 0, KeyName::Token }, { 0, KeyName::Token } },
    {},
    { .serverFaults_ = 2, .crashes_ = 2 },
    12,
    &OrderGuards::tokenBoundToIncarnation_ },
  { "issuer taken for dead",
    { { 0, KeyName::Token }, { 1, KeyName::Token } },
    {},
    { .peerLost_ = 1, .peerTwice_ = 1, .serverFaults_ = 1, .falseDeaths_ = 1 },
    14,
    &OrderGuards::tokenRunsAtIssuerOnly_ },
  { "expiry under differing clocks",
    { { 0, KeyName::First }, { 1, KeyName::First }, { 0, KeyName::AfterJump } },
    { { PrefixOp::Send, 0 },
      { PrefixOp::Settle },
      { PrefixOp::Skew, 0 },
      { PrefixOp::Send, 2 },
      { PrefixOp::Settle },
      { PrefixOp::FalseDeath, 1 },
      { PrefixOp::SettleDaemon, 1 } },
    {},
    8,
    &OrderGuards::expiryByStoredFloor_ },
  { "forward delivered twice",
    { { 1, KeyName::First } },
    {},
    { .peerLost_ = 1, .peerTwice_ = 2, .serverFaults_ = 1 },
    16,
    &OrderGuards::forwardsDeduplicated_ },
  { "unknown outcome",
    { { 0, KeyName::Token }, { 0, KeyName::Token } },
    {},
    { .serverFaults_ = 2, .crashes_ = 1 },
    12,
    &OrderGuards::unknownIsFinal_ },
  { "refusal by a stale owner",
    { { 0, KeyName::First }, { 1, KeyName::First } },
    { { PrefixOp::FalseDeath, 1 },
      { PrefixOp::SettleDaemon, 1 },
      { PrefixOp::Send, 1 },
      { PrefixOp::SettleDaemon, 1 } },
    { .storeLost_ = 2, .serverFaults_ = 1, .jumps_ = 2 },
    12,
    &OrderGuards::notRunNeedsProof_ },
  { "same key at once",
    { { 0, KeyName::Token }, { 0, KeyName::Token } },
    {},
    { .serverFaults_ = 2 },
    12,
    &OrderGuards::sameKeyJoins_ },
  { "each attempt claims",
    { { 0, KeyName::First }, { 1, KeyName::First }, { 0, KeyName::First } },
    { { PrefixOp::Send, 0 },
      { PrefixOp::Store, 0 },
      { PrefixOp::Deliver, 0 },
      { PrefixOp::Shed },
      { PrefixOp::Settle },
      { PrefixOp::FalseDeath, 1 },
      { PrefixOp::SettleDaemon, 1 } },
    { .storeLost_ = 1, .serverFaults_ = 1 },
    14,
    &OrderGuards::claimPerAttempt_ },
  { "two keys, faults of store and server",
    { { 0, KeyName::First }, { 0, KeyName::First }, { 0, KeyName::Second } },
    {},
    { .storeLost_ = 2, .serverFaults_ = 1 },
    13,
    nullptr },
  { "takeover at any moment",
    { { 0, KeyName::First }, { 1, KeyName::First }, { 0, KeyName::Second } },
    {},
    { .storeLost_ = 1, .serverFaults_ = 1, .falseDeaths_ = 1 },
    13,
    nullptr },
  { "two successors at once",
    { { 1, KeyName::First }, { 2, KeyName::First } },
    { { PrefixOp::FalseDeath, 1 }, { PrefixOp::FalseDeath, 2 } },
    { .storeLost_ = 1, .serverFaults_ = 1, .crashes_ = 1 },
    14,
    nullptr },
  { "stale reads while two take over",
    { { 1, KeyName::First }, { 2, KeyName::First } },
    { { PrefixOp::FalseDeath, 1 }, { PrefixOp::FalseDeath, 2 } },
    { .storeLost_ = 1, .staleReads_ = 2 },
    18,
    nullptr },
  { "owner in graceful shutdown",
    { { 0, KeyName::First }, { 1, KeyName::First }, { 0, KeyName::Token } },
    {},
    { .stops_ = 1, .serverFaults_ = 1, .falseDeaths_ = 1 },
    11,
    nullptr },
  { "crash, forward, token and plain key",
    { { 1, KeyName::First }, { 0, KeyName::Token }, { 1, KeyName::Token } },
    {},
    { .peerLost_ = 1, .crashes_ = 1, .falseDeaths_ = 1 },
    11,
    nullptr },
};

std::string
KeyText(const ExploredWorld& aWorld, KeyName aKey)
{
  const std::int64_t millis = aWorld.now_.unixMicros_ / kMicrosPerMilli;
  const std::int64_t window =
    std::chrono::milliseconds(std::chrono::minutes(15)).count();
  switch (aKey) {
    case KeyName::First:
      return std::to_string(millis) + "-first";
    case KeyName::Second:
      return std::to_string(millis) + "-second";
    case KeyName::AfterJump:
      return std::to_string(millis + window) + "-later";
    default:
      return aWorld.token_;
  }
}

ExploreResult
RunCase(const ExploreCase& aCase, const OrderGuards& aGuards)
{
  ExploredWorld world = MakeWorld(aGuards);
  for (const CaseRequest& request : aCase.requests_) {
    world.requests_.push_back(
      { .daemon_ = request.daemon_, .key_ = KeyText(world, request.key_) });
  }
  RunPrefix(world, aCase.prefix_);
  world.budget_ = aCase.budget_;
  return Explore(world, aCase.depth_, kMaxStates);
}

} // namespace

TEST_GROUP(OrderExplore){};

TEST(OrderExplore, HoldsAllInvariants)
{
  std::size_t states = 0;
  for (const ExploreCase& row : kCases) {
    const ExploreResult result = RunCase(row, {});
    std::printf("\n  %s: depth %d, %zu states, %zu steps",
                row.name_,
                row.depth_,
                result.states_,
                result.steps_);
    states += result.states_;
    if (result.violation_ != nullptr) {
      FAIL((std::string(row.name_) + ": " + result.violation_).c_str());
    }
    CHECK_FALSE_TEXT(result.truncated_, row.name_);
  }
  std::printf("\n  %zu states in all\n", states);
}

TEST(OrderExplore, DetectsEachDisabledGuard)
{
  std::size_t mutations = 0;
  for (const ExploreCase& row : kCases) {
    if (row.guard_ == nullptr) {
      continue;
    }
    OrderGuards guards;
    guards.*row.guard_ = false;
    const ExploreResult result = RunCase(row, guards);
    std::printf("\n  without %s: %s (%zu states)",
                row.name_,
                result.violation_ == nullptr ? "NOT FOUND" : result.violation_,
                result.states_);
    CHECK_TRUE_TEXT(result.violation_ != nullptr, row.name_);
    ++mutations;
  }
  CHECK_EQUAL(sizeof(OrderGuards), mutations); // One case for each guard.
}
