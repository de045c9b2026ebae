// Simulated network and clock for membership tests; a seed repeats a run
// exactly.

#include "membership/fleet_fixture.h"

#include "core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace camphorfield {

namespace {

constexpr std::int64_t kUnixStart = 1'764'800'000'000'000; ///< At time zero.
constexpr Duration kPlatformDelay(5000);
constexpr Duration kPlatformTimeout(1'000'000);
constexpr std::size_t kSeeds = 3; ///< Daemons in every seed list.

std::string
Address(std::size_t aNode, int aPort)
{
  return "10.0." + std::to_string(aNode / 250) + "." +
         std::to_string(aNode % 250) + ":" + std::to_string(aPort);
}

} // namespace

Fleet::Fleet(std::size_t aSize, std::size_t aDomains, std::uint64_t aSeed)
  : nodes_(aSize)
  , rng_(aSeed)
  , nextTicks_(aSize, kNever)
{
  for (std::size_t i = 0; i < aSize; ++i) {
    MemberRecord& self = nodes_[i].settings_.self_;
    self.name_ = "entry-" + std::to_string(i);
    self.peerAddress_ = Address(i, 7000);
    self.callerAddress_ = Address(i, 7001);
    self.operatorAddress_ = Address(i, 7002);
    self.failureDomain_ = "fd-" + std::to_string(i % aDomains);
    byAddress_[self.peerAddress_] = i;
    for (std::size_t seed = 0; seed < std::min(kSeeds, aSize); ++seed) {
      nodes_[i].settings_.seeds_.push_back(Address(seed, 7000));
    }
    nodes_[i].rng_.seed(aSeed * 7919 + i);
  }
}

Now
Fleet::GetNow() const
{
  return Now{ now_, kUnixStart + now_.time_since_epoch().count() };
}

void
Fleet::Start(std::size_t aNode)
{
  StartAs(aNode, nextIncarnation_++);
}

void
Fleet::StartAs(std::size_t aNode, std::uint64_t aIncarnation)
{
  FleetNode& node = nodes_[aNode];
  node.settings_.self_.incarnation_.value_ = aIncarnation;
  node.state_ = MakeMembershipState(node.settings_, GetNow(), node.rng_);
  node.running_ = true;
  node.paused_ = false;
  node.unread_.clear();
  node.rumorsHeard_.clear();
  node.counters_ = FleetCounters{};
  nextTicks_[aNode] = kNever;
  ScheduleTick(aNode);
}

void
Fleet::StartAll()
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Start(i);
  }
}

void
Fleet::Crash(std::size_t aNode, bool aRefuses)
{
  nodes_[aNode].running_ = false;
  nodes_[aNode].refuses_ = aRefuses;
}

void
Fleet::Pause(std::size_t aNode)
{
  nodes_[aNode].paused_ = true;
}

void
Fleet::Resume(std::size_t aNode)
{
  FleetNode& node = nodes_[aNode];
  node.paused_ = false;
  const std::vector<PeerMessage> unread = std::move(node.unread_);
  node.unread_.clear();
  for (const PeerMessage& message : unread) {
    InjectEvent(aNode, message);
  }
  ScheduleTick(aNode);
}

void
Fleet::Cut(std::size_t aFrom, std::size_t aTo)
{
  cuts_.emplace(aFrom, aTo);
}

void
Fleet::CutBothWays(const std::set<std::size_t>& aPart)
{
  for (const std::size_t inside : aPart) {
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (!aPart.contains(other)) {
        cuts_.emplace(inside, other);
        cuts_.emplace(other, inside);
      }
    }
  }
}

void
Fleet::Heal()
{
  cuts_.clear();
}

void
Fleet::InjectEvent(std::size_t aNode, const Event& aEvent)
{
  FleetNode& node = nodes_[aNode];
  Decisions decisions;
  std::visit(
    [&](const auto& aBody) {
      if constexpr (requires {
                      MembershipOnEvent(
                        node.state_, aBody, GetNow(), node.rng_, decisions);
                    }) {
        MembershipOnEvent(node.state_, aBody, GetNow(), node.rng_, decisions);
      }
    },
    aEvent);
  ApplyDecisions(aNode, decisions);
  ScheduleTick(aNode);
}

void
Fleet::Spread(std::size_t aNode, const Rumor& aRumor)
{
  FleetNode& node = nodes_[aNode];
  Decisions decisions;
  MembershipOnEvent(
    node.state_, SpreadRumor{ aRumor }, GetNow(), node.rng_, decisions);
  ApplyDecisions(aNode, decisions);
  ScheduleTick(aNode);
}

void
Fleet::Adopt(std::size_t aNode, std::uint64_t aGeneration)
{
  PublishedConfig config;
  config.generation_.value_ = aGeneration;
  InjectEvent(aNode,
              ConfigAdopted{ std::make_shared<const PublishedConfig>(config) });
}

EntriesAnswer
Fleet::RequestEntries(std::size_t aNode, const std::string& aDomain)
{
  answer_ = EntriesAnswer{};
  InjectEvent(aNode, EntriesRequest{ CallerRequestId{ 1 }, aDomain, 0 });
  return answer_;
}

void
Fleet::SetReadyAll()
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].running_) {
      MembershipSetReady(nodes_[i].state_, true);
      ScheduleTick(i);
    }
  }
}

void
Fleet::Schedule(Duration aAfter,
                std::size_t aTo,
                std::uint64_t aIncarnation,
                const Event& aEvent)
{
  queue_.push(FleetEvent{ now_ + aAfter,
                          nextOrder_++,
                          aTo,
                          aIncarnation,
                          std::make_shared<Event>(aEvent) });
}

void
Fleet::ScheduleTick(std::size_t aNode)
{
  FleetNode& node = nodes_[aNode];
  if (!node.running_ || node.paused_) {
    return;
  }
  const TimePoint next = std::max(MembershipNextWake(node.state_), now_);
  if (nextTicks_[aNode] <= next) {
    return;
  }
  nextTicks_[aNode] = next;
  queue_.push(FleetEvent{ next,
                          nextOrder_++,
                          aNode,
                          node.settings_.self_.incarnation_.value_,
                          nullptr });
}

void
Fleet::ApplySend(std::size_t aNode, const SendPeer& aSend)
{
  FleetNode& node = nodes_[aNode];
  PeerMessage message;
  message.from_ = MembershipSelf(node.state_).id_;
  message.fromIncarnation_ = MembershipSelf(node.state_).incarnation_;
  message.body_ = aSend.body_;
  ++node.counters_.sent_;
  const std::size_t bytes = sizer_ ? sizer_(message) : 0;
  node.counters_.sentBytes_ += bytes;
  const auto spread =
    static_cast<std::uint64_t>((maxDelay_ - minDelay_).count()) + 1;
  const Duration delay = minDelay_ + Duration(rng_() % spread);
  const bool lost = static_cast<double>(rng_() % 1'000'000) < loss_ * 1'000'000;
  const auto found = byAddress_.find(aSend.address_);
  if (found == byAddress_.end() || lost ||
      cuts_.contains({ aNode, found->second })) {
    return;
  }
  FleetNode& to = nodes_[found->second];
  if (!to.running_) {
    if (to.refuses_) {
      Schedule(2 * delay,
               aNode,
               node.settings_.self_.incarnation_.value_,
               PeerUnreachable{ aSend.to_, aSend.address_, aSend.call_ });
    }
    return;
  }
  to.counters_.receivedBytes_ += bytes;
  Schedule(delay, found->second, 0, message);
}

void
Fleet::AnswerCall(std::size_t aNode, const PlatformCall& aCall)
{
  ++nodes_[aNode].counters_.vmLists_;
  PlatformReply reply;
  reply.id_ = aCall.id_;
  reply.user_ = aCall.user_;
  reply.op_ = aCall.op_;
  reply.status_ =
    platformDown_ ? PlatformStatus::Unreachable : PlatformStatus::Ok;
  if (!platformDown_) {
    reply.vms_ = vms_;
  }
  Schedule(platformDown_ ? kPlatformTimeout : kPlatformDelay,
           aNode,
           nodes_[aNode].settings_.self_.incarnation_.value_,
           reply);
}

void
Fleet::ApplyDecisions(std::size_t aNode, const Decisions& aDecisions)
{
  FleetNode& node = nodes_[aNode];
  for (const Decision& decision : aDecisions) {
    decisionsHash_ = HashPair(decisionsHash_, decision.index());
    if (const auto* send = std::get_if<SendPeer>(&decision)) {
      decisionsHash_ =
        HashPair(decisionsHash_, HashText(send->address_, aNode));
      ApplySend(aNode, *send);
    } else if (const auto* call = std::get_if<PlatformCall>(&decision)) {
      AnswerCall(aNode, *call);
    } else if (const auto* rumor = std::get_if<RumorReceived>(&decision)) {
      if (const auto* leaving = std::get_if<LeavingRumor>(&rumor->rumor_)) {
        ++node.rumorsHeard_[leaving->server_];
      }
    } else if (const auto* event = std::get_if<TimelineRecord>(&decision)) {
      if (event->kind_ != TimelineKind::MemberJoined) {
        node.timeline_.push_back(*event);
      }
    } else if (const auto* answer = std::get_if<EntriesAnswer>(&decision)) {
      answer_ = *answer;
    } else if (std::holds_alternative<MembersChanged>(decision)) {
      ++node.counters_.membersChanged_;
    }
  }
}

void
Fleet::Deliver(const FleetEvent& aEvent)
{
  FleetNode& node = nodes_[aEvent.to_];
  const bool otherIncarnation =
    aEvent.incarnation_ != 0 &&
    aEvent.incarnation_ != node.settings_.self_.incarnation_.value_;
  if (!node.running_ || otherIncarnation) {
    return;
  }
  if (aEvent.event_ == nullptr) {
    if (nextTicks_[aEvent.to_] != aEvent.at_) {
      return; // replaced by an earlier Tick
    }
    nextTicks_[aEvent.to_] = kNever;
    if (!node.paused_) {
      InjectEvent(aEvent.to_, Tick{});
    }
    return;
  }
  if (!node.paused_) {
    InjectEvent(aEvent.to_, *aEvent.event_);
  } else if (const auto* message =
               std::get_if<PeerMessage>(aEvent.event_.get())) {
    node.unread_.push_back(*message);
  }
}

void
Fleet::Run(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  while (!queue_.empty() && queue_.top().at_ <= end) {
    const FleetEvent event = queue_.top();
    queue_.pop();
    now_ = event.at_;
    Deliver(event);
  }
  now_ = end;
}

Duration
Fleet::RunUntil(const std::function<bool()>& aCondition, Duration aMost)
{
  constexpr Duration kStep(10'000);
  Duration taken{};
  while (taken < aMost && !aCondition()) {
    Run(kStep);
    taken += kStep;
  }
  return taken;
}

const MemberRecord*
Fleet::RecordOf(std::size_t aNode, std::size_t aOther) const
{
  const DaemonId id{ HashText(nodes_[aOther].settings_.self_.name_) };
  const auto members = MembershipMembers(nodes_[aNode].state_);
  const auto found =
    std::lower_bound(members->begin(),
                     members->end(),
                     id,
                     [](const MemberRecord& aRecord, DaemonId aId) {
                       return aRecord.id_ < aId;
                     });
  return found != members->end() && found->id_ == id ? &*found : nullptr;
}

MemberState
Fleet::StateOf(std::size_t aNode, std::size_t aOther) const
{
  const MemberRecord* record = RecordOf(aNode, aOther);
  return record == nullptr ? MemberState::Dead : record->state_;
}

bool
Fleet::AllSee(std::size_t aOther, MemberState aState) const
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i != aOther && nodes_[i].running_ && !nodes_[i].paused_ &&
        StateOf(i, aOther) != aState) {
      return false;
    }
  }
  return true;
}

bool
Fleet::Converged() const
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const MemberState expected =
      nodes_[i].running_ ? MemberState::Alive : MemberState::Dead;
    if (!AllSee(i, expected)) {
      return false;
    }
  }
  return true;
}

std::size_t
Fleet::CountTimeline(TimelineKind aKind) const
{
  std::size_t count = 0;
  for (const FleetNode& node : nodes_) {
    for (const TimelineRecord& record : node.timeline_) {
      count += record.kind_ == aKind ? 1 : 0;
    }
  }
  return count;
}

} // namespace camphorfield
