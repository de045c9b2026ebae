// Simulated fleet: messages and gossip run on one event queue.
#include "publish/fleet_fixture.h"

#include "core/digest_func.h"
#include "core/hash_func.h"
#include "object/object_json.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

namespace camphorfield::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration kPeerLatency = std::chrono::milliseconds(1);
constexpr Duration kGossipPeriod = std::chrono::milliseconds(250);
constexpr std::int64_t kStartMicros = 1'800'000'000'000'000;

} // namespace

Fleet::Fleet(std::size_t aDaemons, std::size_t aDomains, std::uint64_t aSeed)
  : now_(std::chrono::seconds(1000))
  , rng_(aSeed)
{
  for (std::size_t i = 0; i < aDaemons; i++) {
    FakeDaemon daemon;
    daemon.name_ = "vm-" + std::to_string(i);
    daemon.settings_.self_ = DaemonId{ HashText(daemon.name_) };
    daemon.settings_.failureDomain_ = "fd-" + std::to_string(i % aDomains);
    daemons_.push_back(std::move(daemon));
  }
  for (std::size_t i = 0; i < aDaemons; i++) {
    Restart(i);
  }
  Post(kGossipPeriod, [this] { Gossip(); });
}

Now
Fleet::NowOf() const
{
  return { now_, kStartMicros + now_.time_since_epoch().count() };
}

void
Fleet::Post(Duration aDelay, std::function<void()> aWork)
{
  queue_.emplace(now_ + aDelay, std::move(aWork));
}

void
Fleet::RunOn(std::size_t aDaemon, std::function<void(FakeDaemon&)> aWork)
{
  FakeDaemon& daemon = daemons_[aDaemon];
  if (!daemon.alive_) {
    return;
  }
  if (daemon.paused_) {
    daemon.heldEvents_.push_back(
      [this, aDaemon, work = std::move(aWork)] { RunOn(aDaemon, work); });
    return;
  }
  aWork(daemon);
}

template<typename Event>
void
Fleet::Deliver(std::size_t aDaemon, const Event& aEvent)
{
  RunOn(aDaemon, [this, aDaemon, aEvent](FakeDaemon& aTo) {
    Decisions out;
    PublishOnEvent(aTo.state_, aEvent, NowOf(), aTo.rng_, out);
    aTo.wake_ = PublishNextWake(aTo.state_);
    Perform(aDaemon, std::move(out));
  });
}

// Defined here for the source of the store.
template void
Fleet::Deliver(std::size_t, const PlatformReply&);

void
Fleet::RecordAdoption(FakeDaemon& aDaemon, const ConfigAdopted& aAdopted)
{
  const Generation generation = aAdopted.config_->generation_;
  if (!aDaemon.adopted_.empty() && aDaemon.adopted_.back() >= generation) {
    reversals_++;
  }
  aDaemon.adopted_.push_back(generation);
  aDaemon.adoptedAt_.emplace(generation, now_);
  const std::string digest =
    DigestText(EncodeConfigSet(aAdopted.config_->set_));
  if (contents_.emplace(generation, digest).first->second != digest) {
    forks_++;
  }
}

void
Fleet::Perform(std::size_t aDaemon, Decisions aDecisions)
{
  for (Decision& decision : aDecisions) {
    if (const auto* call = std::get_if<PlatformCall>(&decision)) {
      StartPlatformCall(aDaemon, *call);
    } else if (const auto* send = std::get_if<SendPeer>(&decision)) {
      SendToPeer(aDaemon, *send);
    } else if (const auto* answer = std::get_if<OperatorAnswer>(&decision)) {
      CHECK_TRUE(answers_.emplace(answer->id_, *answer).second);
    } else if (const auto* record = std::get_if<TimelineRecord>(&decision)) {
      daemons_[aDaemon].timeline_.push_back(*record);
    } else if (const auto* adopted = std::get_if<ConfigAdopted>(&decision)) {
      RecordAdoption(daemons_[aDaemon], *adopted);
    }
  }
}

void
Fleet::SendToPeer(std::size_t aDaemon, const SendPeer& aSend)
{
  FakeDaemon& from = daemons_[aDaemon];
  from.peerMessages_++;
  if (const auto* content = std::get_if<GenerationContent>(&aSend.body_)) {
    from.peerBytes_ += content->content_.size();
  }
  const std::size_t to = IndexOf(aSend.to_);
  const bool cut =
    from.cutFromPeers_ || daemons_[to].cutFromPeers_ || !daemons_[to].alive_;
  if (cut) {
    const PeerUnreachable lost{ aSend.to_, aSend.address_, aSend.call_ };
    Post(kPeerLatency, [this, aDaemon, lost] { Deliver(aDaemon, lost); });
    return;
  }
  const auto* ask = std::get_if<GenerationRequest>(&aSend.body_);
  if (ask != nullptr && cannedContent_) {
    GenerationContent answer = *cannedContent_;
    answer.call_ = ask->call_;
    const PeerMessage reply{ aSend.to_, {}, {}, std::move(answer) };
    Post(kPeerLatency, [this, aDaemon, reply] { Deliver(aDaemon, reply); });
    return;
  }
  PeerMessage message{ from.settings_.self_, {}, {}, aSend.body_ };
  Post(kPeerLatency, [this, to, message] { Deliver(to, message); });
}

std::size_t
Fleet::IndexOf(DaemonId aId) const
{
  for (std::size_t i = 0; i < daemons_.size(); i++) {
    if (daemons_[i].settings_.self_ == aId) {
      return i;
    }
  }
  FAIL("message to an unknown daemon");
  return 0;
}

void
Fleet::Gossip()
{
  Post(kGossipPeriod, [this] { Gossip(); });
  if (!gossip_) {
    return;
  }
  auto members = std::make_shared<std::vector<MemberRecord>>();
  for (const FakeDaemon& daemon : daemons_) {
    if (!daemon.alive_ || daemon.cutFromPeers_) {
      continue;
    }
    MemberRecord record;
    record.id_ = daemon.settings_.self_;
    record.name_ = daemon.name_;
    record.failureDomain_ = daemon.settings_.failureDomain_;
    record.peerAddress_ = daemon.name_ + ":1";
    if (PublishCurrent(daemon.state_) != nullptr) {
      record.generation_ = PublishCurrent(daemon.state_)->generation_;
    }
    members->push_back(std::move(record));
  }
  std::sort(members->begin(),
            members->end(),
            [](const auto& aA, const auto& aB) { return aA.id_ < aB.id_; });
  for (std::size_t i = 0; i < daemons_.size(); i++) {
    if (!daemons_[i].cutFromPeers_) {
      Deliver(i, MembersChanged{ members });
    }
  }
}

bool
Fleet::Step(TimePoint aLimit)
{
  TimePoint next = queue_.empty() ? kNever : queue_.begin()->first;
  std::size_t due = daemons_.size();
  for (std::size_t i = 0; i < daemons_.size(); i++) {
    const FakeDaemon& daemon = daemons_[i];
    const TimePoint wake =
      daemon.alive_ && !daemon.paused_ ? std::max(now_, daemon.wake_) : kNever;
    if (wake < next) {
      next = wake;
      due = i;
    }
  }
  if (next > aLimit) {
    now_ = aLimit;
    return false;
  }
  now_ = std::max(now_, next);
  if (due < daemons_.size()) {
    Deliver(due, Tick{});
    return true;
  }
  const std::function<void()> work = std::move(queue_.begin()->second);
  queue_.erase(queue_.begin());
  work();
  return true;
}

void
Fleet::Run(Duration aTime)
{
  const TimePoint limit = now_ + aTime;
  while (Step(limit)) {
  }
}

bool
Fleet::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const TimePoint limit = now_ + aLimit;
  while (!aDone()) {
    if (!Step(limit)) {
      return aDone();
    }
  }
  return true;
}

OperatorRequestId
Fleet::SendRequest(std::size_t aDaemon, OperatorRequest aRequest)
{
  aRequest.id_ = OperatorRequestId{ ++lastRequest_ };
  Deliver(aDaemon, aRequest);
  return aRequest.id_;
}

OperatorRequestId
Fleet::Apply(std::size_t aDaemon,
             const std::string& aText,
             const std::string& aId)
{
  return SendRequest(aDaemon, { {}, OperatorOp::Apply, aText, aId, {} });
}

OperatorAnswer
Fleet::RequestAndWait(std::size_t aDaemon,
                      OperatorRequest aRequest,
                      Duration aLimit)
{
  const OperatorRequestId id = SendRequest(aDaemon, std::move(aRequest));
  CHECK_TRUE(RunUntil([&] { return FindAnswer(id) != nullptr; }, aLimit));
  const OperatorAnswer* answer = FindAnswer(id);
  return answer == nullptr ? OperatorAnswer{} : *answer;
}

OperatorAnswer
Fleet::ApplyAndWait(std::size_t aDaemon,
                    const std::string& aText,
                    const std::string& aId,
                    Duration aLimit)
{
  return RequestAndWait(
    aDaemon, { {}, OperatorOp::Apply, aText, aId, {} }, aLimit);
}

const OperatorAnswer*
Fleet::FindAnswer(OperatorRequestId aId) const
{
  const auto found = answers_.find(aId);
  return found == answers_.end() ? nullptr : &found->second;
}

void
Fleet::Start()
{
  Run(2s);
  const OperatorAnswer answer = ApplyAndWait(0, BaseDocument(), "base");
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  CHECK_TRUE(RunUntil([&] { return AllAt(Generation{ 1 }); }, 5s));
  Run(2s);
}

void
Fleet::CheckInvariants() const
{
  LONGS_EQUAL(0, reversals_);
  LONGS_EQUAL(0, forks_);
}

void
Fleet::Stop(std::size_t aDaemon)
{
  Deliver(aDaemon, StopRequested{ "test" });
}

void
Fleet::SendNotice(std::size_t aTo, std::size_t aFrom, Generation aGeneration)
{
  GenerationContent notice;
  notice.generation_ = aGeneration;
  const DaemonId from = daemons_[aFrom].settings_.self_;
  Deliver(aTo, PeerMessage{ from, {}, {}, std::move(notice) });
}

void
Fleet::Restart(std::size_t aDaemon)
{
  FakeDaemon& daemon = daemons_[aDaemon];
  daemon.restarts_++;
  daemon.alive_ = true;
  daemon.paused_ = false;
  daemon.heldEvents_.clear();
  daemon.adopted_.clear();
  daemon.adoptedAt_.clear();
  daemon.rng_ = Rng{ rng_() };
  daemon.state_ = MakePublishState(daemon.settings_, daemon.rng_);
  daemon.wake_ = PublishNextWake(daemon.state_);
}

void
Fleet::Kill(std::size_t aDaemon)
{
  daemons_[aDaemon].alive_ = false;
}

void
Fleet::Pause(std::size_t aDaemon, bool aPaused)
{
  FakeDaemon& daemon = daemons_[aDaemon];
  daemon.paused_ = aPaused;
  if (aPaused) {
    return;
  }
  const auto held = std::move(daemon.heldEvents_);
  daemon.heldEvents_.clear();
  for (const auto& work : held) {
    work();
  }
}

bool
Fleet::AllAt(Generation aGeneration) const
{
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& aOne) {
    return !aOne.alive_ || aOne.paused_ ||
           (!aOne.adopted_.empty() && aOne.adopted_.back() == aGeneration);
  });
}

std::size_t
Fleet::CountRecords(TimelineKind aKind) const
{
  std::size_t count = 0;
  for (const FakeDaemon& daemon : daemons_) {
    for (const TimelineRecord& record : daemon.timeline_) {
      count += record.kind_ == aKind ? 1 : 0;
    }
  }
  return count;
}

} // namespace camphorfield::test
