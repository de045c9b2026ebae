// Evidence in the store: it must outlive a kill of all daemons, whatever the
// store does meanwhile, at a bounded number of calls.
#include "gateway/crash/evidence_log.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
constexpr std::uint64_t kContent = 77;

enum class StoreMode : std::uint8_t
{
  Normal,
  Refusing,
  Silent,
  LosingReplies ///< Writes are done, and get no answer.
};

/** The store's object, with revisions and conditional writes. */
struct ModelStore
{
  StoreMode mode_ = StoreMode::Normal;
  bool exists_ = false;
  std::uint64_t revision_ = 100;
  EvidenceItems items_;
  std::uint32_t calls_ = 0;

  EvidenceReply Answer(const EvidenceCall& aCall)
  {
    ++calls_;
    if (mode_ == StoreMode::Refusing) {
      return { EvidenceStatus::Refused, 0, {} };
    }
    if (mode_ == StoreMode::Silent) {
      return {};
    }
    EvidenceReply reply = Execute(aCall);
    return mode_ == StoreMode::LosingReplies ? EvidenceReply{} : reply;
  }

private:
  EvidenceReply Execute(const EvidenceCall& aCall)
  {
    if (aCall.op_ == EvidenceOp::Read) {
      return Object(EvidenceStatus::Ok);
    }
    const bool isCreate = aCall.op_ == EvidenceOp::Create;
    if (!isCreate && !exists_) {
      return { EvidenceStatus::Missing, 0, {} };
    }
    if (isCreate ? exists_ : aCall.revision_ != revision_) {
      return Object(EvidenceStatus::Conflict);
    }
    ++revision_;
    exists_ = aCall.op_ != EvidenceOp::Delete;
    items_ = aCall.items_;
    return Object(EvidenceStatus::Ok);
  }
  EvidenceReply Object(EvidenceStatus aStatus) const
  {
    return exists_ ? EvidenceReply{ aStatus, revision_, items_ }
                   : EvidenceReply{ aStatus, 0, {} };
  }
};

/** Daemons that exchange evidence at once and share a store. */
struct Fleet
{
  explicit Fleet(std::size_t aDaemons)
    : logs_(aDaemons)
    , alive_(aDaemons, true)
  {
    KillAll();
  }
  void KillAll()
  {
    for (EvidenceLog& log : logs_) {
      log = MakeEvidenceLog(true, now_, rng_);
    }
    std::fill(alive_.begin(), alive_.end(), true);
  }
  void Find(std::size_t aDaemon, const CrashEvidence& aEvidence)
  {
    for (std::size_t i = 0; i < logs_.size(); ++i) {
      RecordEvidence(
        logs_[i], kContent, aEvidence, i == aDaemon, NowOf(), rng_);
    }
  }
  void Advance(Duration aTime)
  {
    for (const TimePoint end = now_ + aTime; now_ < end; now_ += kStep) {
      const auto keeper = static_cast<std::size_t>(
        std::find(alive_.begin(), alive_.end(), true) - alive_.begin());
      for (std::size_t i = 0; i < logs_.size(); ++i) {
        const auto call = alive_[i]
                            ? NextEvidenceCall(logs_[i], i == keeper, NowOf())
                            : std::nullopt;
        if (call) {
          TakeEvidenceReply(logs_[i], store_.Answer(*call), NowOf(), rng_);
        }
      }
    }
  }
  /** Daemons that hold conclusive evidence. */
  std::size_t Knowing() const
  {
    return static_cast<std::size_t>(
      std::count_if(logs_.begin(), logs_.end(), [](const EvidenceLog& aLog) {
        const auto found = aLog.known_.find(kContent);
        return found != aLog.known_.end() &&
               IsConclusive(found->second.evidence_);
      }));
  }
  Now NowOf() const { return { now_, now_.time_since_epoch().count() }; }

  TimePoint now_{ seconds(1000) };
  Rng rng_{ 5 };
  ModelStore store_;
  std::vector<EvidenceLog> logs_;
  std::vector<bool> alive_;
};

CrashEvidence
Conclusive()
{
  return { 0, { 1, 2, 3 }, { 4, 5 }, { 6, 7, 8 } };
}

/** What happens between the start and the kill of all daemons. */
struct KillCase
{
  const char* name_;
  void (*play_)(Fleet& aFleet);
  bool isKnownAfter_;
  std::uint32_t maxCalls_; ///< After the first read of each daemon.
};

const std::vector<KillCase>&
KillCases()
{
  static const std::vector<KillCase> cases{
    { "written by its finder",
      [](Fleet& aFleet) { aFleet.Find(2, Conclusive()); },
      true,
      3 },
    { "killed a second after",
      [](Fleet& aFleet) {
        aFleet.Find(2, Conclusive());
        aFleet.Advance(milliseconds(800));
        aFleet.KillAll();
      },
      true,
      9 },
    { "its finder dies at once",
      [](Fleet& aFleet) {
        aFleet.Find(2, Conclusive());
        aFleet.alive_[2] = false;
      },
      true,
      3 },
    { "finder and keeper die",
      [](Fleet& aFleet) {
        aFleet.Find(0, Conclusive());
        aFleet.alive_[0] = false;
        aFleet.Advance(seconds(10));
        aFleet.alive_[1] = false;
      },
      true,
      3 },
    { "two find different crashes",
      [](Fleet& aFleet) {
        aFleet.logs_[4].known_.clear();
        RecordEvidence(aFleet.logs_[3],
                       kContent,
                       { 0, { 1, 2 }, { 4 }, { 6, 7 } },
                       true,
                       aFleet.NowOf(),
                       aFleet.rng_);
        RecordEvidence(aFleet.logs_[4],
                       kContent,
                       { 0, { 3 }, { 5 }, { 8 } },
                       true,
                       aFleet.NowOf(),
                       aFleet.rng_);
      },
      true,
      6 },
    { "the store is down for 20 s",
      [](Fleet& aFleet) {
        aFleet.store_.mode_ = StoreMode::Silent;
        aFleet.Find(2, Conclusive());
        aFleet.Advance(seconds(20));
        aFleet.store_.mode_ = StoreMode::Normal;
      },
      true,
      14 },
    { "replies are lost",
      [](Fleet& aFleet) {
        aFleet.store_.mode_ = StoreMode::LosingReplies;
        aFleet.Find(2, Conclusive());
        aFleet.Advance(seconds(2));
        aFleet.store_.mode_ = StoreMode::Normal;
      },
      true,
      9 },
    { "an older copy without it is restored",
      [](Fleet& aFleet) {
        aFleet.Find(2, Conclusive());
        aFleet.Advance(seconds(8));
        aFleet.store_.exists_ = false;
        aFleet.store_.items_.clear();
        for (EvidenceLog& log : aFleet.logs_) {
          RecheckEvidence(log, aFleet.now_, aFleet.rng_);
        }
      },
      true,
      6 },
    { "refuted",
      [](Fleet& aFleet) {
        aFleet.Find(2, Conclusive());
        aFleet.Advance(seconds(8));
        aFleet.Find(4, { 1, {}, {}, {} });
      },
      false,
      6 },
    { "expired",
      [](Fleet& aFleet) {
        aFleet.Find(2, Conclusive());
        aFleet.Advance(seconds(120));
      },
      false,
      7 },
    { "the store refuses all",
      [](Fleet& aFleet) {
        aFleet.store_.mode_ = StoreMode::Refusing;
        aFleet.Find(2, Conclusive());
        aFleet.Advance(seconds(50));
      },
      false,
      18 },
  };
  return cases;
}

} // namespace

TEST_GROUP(EvidenceLog){};

TEST(EvidenceLog, EvidenceIsLostWithAllDaemons)
{
  constexpr std::size_t kDaemons = 6;
  for (const KillCase& item : KillCases()) {
    Fleet fleet(kDaemons);
    fleet.Advance(seconds(2));
    LONGS_EQUAL_TEXT(kDaemons, fleet.store_.calls_, item.name_);
    item.play_(fleet);
    fleet.Advance(seconds(10));
    const std::uint32_t calls = fleet.store_.calls_ - kDaemons;
    fleet.KillAll();
    fleet.Advance(seconds(3));
    LONGS_EQUAL_TEXT(
      item.isKnownAfter_ ? kDaemons : 0, fleet.Knowing(), item.name_);
    CHECK_TEXT(calls <= item.maxCalls_, item.name_);
  }
}

// The object must not stay in the store for good.
TEST(EvidenceLog, ExpiredObjectIsKept)
{
  for (const bool killed : { false, true }) {
    Fleet fleet(3);
    fleet.Advance(seconds(2));
    fleet.Find(1, Conclusive());
    fleet.Advance(seconds(10));
    CHECK_TRUE(fleet.store_.exists_);
    if (killed) {
      fleet.KillAll();
    }
    fleet.Advance(seconds(400));
    CHECK_FALSE(fleet.store_.exists_);
    CHECK_TRUE(fleet.store_.calls_ < 20);
  }
}

// Without the setting the store must see no call.
TEST(EvidenceLog, DisabledLogCallsTheStore)
{
  Rng rng(1);
  EvidenceLog log = MakeEvidenceLog(false, TimePoint{}, rng);
  const Now now{ TimePoint{ seconds(9) }, 9000000 };
  RecordEvidence(log, kContent, Conclusive(), true, now, rng);
  CHECK_FALSE(NextEvidenceCall(log, true, now).has_value());
}

// A load of innocent suspects must not displace what is conclusive, nor grow
// the object.
TEST(EvidenceLog, ObjectGrowsBeyondItsBound)
{
  Fleet fleet(1);
  fleet.Advance(seconds(2));
  fleet.Find(0, Conclusive());
  for (std::uint64_t i = 1000; i < 3000; ++i) {
    RecordEvidence(fleet.logs_[0],
                   i,
                   { 0, { i }, { i }, { i } },
                   true,
                   fleet.NowOf(),
                   fleet.rng_);
  }
  fleet.Advance(seconds(5));
  LONGS_EQUAL(kMaxStoredEvidence, fleet.store_.items_.size());
  LONGS_EQUAL(1, fleet.store_.items_.count(kContent));
}
