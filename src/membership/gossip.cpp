#include "membership/membership_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kMessageOverhead = 110; ///< Frame, TCP, IP and its ack.
constexpr std::size_t kAsksPerPing = 8;       ///< Records asked for at a time.

void
AddAsks(MembershipState& aState, News& aNews)
{
  const std::size_t count = std::min(kAsksPerPing, aState.wanted_.size());
  for (std::size_t i = 0; i < count; ++i) {
    MemberRecord ask;
    ask.id_ = aState.wanted_.back();
    aState.wanted_.pop_back();
    AddRecord(aNews, std::move(ask), SIZE_MAX);
  }
}

/** Whole records that a ping asks for. */
void
AddAskedFor(MembershipState& aState, const GossipPing& aPing, News& aNews)
{
  for (const MemberRecord& ask : aPing.members_) {
    if (ask.incarnation_.IsValid()) {
      continue;
    }
    const Member* member = FindMember(aState, ask.id_);
    if (member != nullptr) {
      AddRecord(aNews, member->record_, SIZE_MAX);
    } else if (ask.id_ == aState.self_.id_) {
      aNews.members_.front() = aState.self_;
    }
  }
}

GossipPing
PingOf(MembershipStep& aStep, News aNews, std::uint64_t aSequence)
{
  GossipPing ping;
  ping.adopted_ = MakeAdoptedSet(aStep, false);
  ping.sequence_ = aSequence;
  ping.members_ = std::move(aNews.members_);
  ping.rumors_ = std::move(aNews.rumors_);
  ping.viewHash_ = aStep.state_.viewHash_;
  return ping;
}

void
BurstTo(MembershipStep& aStep, const Member& aTo)
{
  News news = StartNews(aStep.state_, &aTo);
  FillNews(aStep, news, true);
  ++aStep.state_.stats_.burstMessages_;
  aStep.state_.newsLeft_ -= static_cast<std::int64_t>(kMessageOverhead);
  const std::size_t bytes = news.bytes_;
  SendCounted(aStep,
              aTo.record_.id_,
              aTo.record_.peerAddress_,
              PingOf(aStep, std::move(news), 0),
              bytes);
}

} // namespace

Member*
RandomMember(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  const std::size_t size = state.order_.size();
  const std::size_t start = size == 0 ? 0 : aStep.rng_() % size;
  for (std::size_t i = 0; i < size; ++i) {
    Member* member = FindMember(state, state.order_[(start + i) % size]);
    if (member->record_.state_ == MemberState::Alive) {
      return member;
    }
  }
  return nullptr;
}

void
SendCounted(MembershipStep& aStep,
            DaemonId aTo,
            const std::string& aAddress,
            PeerBody aBody,
            std::size_t aBytes)
{
  aStep.state_.stats_.bytesSent_ += aBytes + kMessageOverhead;
  aStep.out_.emplace_back(SendPeer{ aTo, aAddress, std::move(aBody), {} });
}

void
SendPing(MembershipStep& aStep, Member& aTo, std::uint64_t aSequence)
{
  News news = StartNews(aStep.state_, &aTo);
  if (aTo.record_.state_ != MemberState::Alive) {
    // It must learn what is said of it before it can deny it.
    AddRecord(news, BriefRecord(aTo.record_), kMessageBytes);
  }
  AddAsks(aStep.state_, news);
  FillNews(aStep, news, false);
  const std::size_t bytes = news.bytes_;
  SendCounted(aStep,
              aTo.record_.id_,
              aTo.record_.peerAddress_,
              PingOf(aStep, std::move(news), aSequence),
              bytes);
}

void
SendHello(MembershipStep& aStep, const std::string& aAddress)
{
  News news = StartNews(aStep.state_, nullptr);
  const std::size_t bytes = news.bytes_;
  const std::uint64_t sequence = aStep.state_.nextSequence_++;
  SendCounted(aStep,
              DaemonId{},
              aAddress,
              PingOf(aStep, std::move(news), sequence),
              bytes);
}

void
SendAck(MembershipStep& aStep, DaemonId aTo, const GossipPing& aPing)
{
  MembershipState& state = aStep.state_;
  const Member* to = FindMember(state, aTo);
  if (to == nullptr) {
    return;
  }
  News news = StartNews(state, to);
  if (to->record_.state_ != MemberState::Alive) {
    AddRecord(news, BriefRecord(to->record_), kMessageBytes);
  }
  AddAskedFor(state, aPing, news);
  GossipAck ack;
  if (aPing.sync_) {
    ack.syncNext_ = FillPage(aStep, aPing.syncAfter_, news);
  }
  if (!ack.syncNext_.IsValid()) {
    FillNews(aStep, news, false);
  }
  ack.adopted_ = MakeAdoptedSet(aStep, aPing.adopted_.generation_.IsValid());
  ack.sequence_ = aPing.sequence_;
  ack.viewHash_ = state.viewHash_;
  ack.members_ = std::move(news.members_);
  ack.rumors_ = std::move(news.rumors_);
  SendCounted(
    aStep, aTo, to->record_.peerAddress_, std::move(ack), news.bytes_);
}

void
SendRelayedAck(MembershipStep& aStep, const RelayedProbe& aRelayed)
{
  MembershipState& state = aStep.state_;
  const Member* origin = FindMember(state, aRelayed.origin_);
  const Member* target = FindMember(state, aRelayed.target_);
  if (origin == nullptr || target == nullptr) {
    return;
  }
  News news = StartNews(state, origin);
  AddRecord(news, BriefRecord(target->record_), SIZE_MAX);
  GossipAck ack;
  ack.sequence_ = aRelayed.originSequence_;
  ack.viewHash_ = state.viewHash_;
  ack.members_ = std::move(news.members_);
  SendCounted(aStep,
              aRelayed.origin_,
              origin->record_.peerAddress_,
              std::move(ack),
              news.bytes_);
}

TimePoint
BurstAt(const MembershipState& aState)
{
  return aState.burstPending_ ? aState.lastBurstAt_ + kBurstGap : kNever;
}

void
SendBurst(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (BurstAt(state) > aStep.now_.mono_) {
    return;
  }
  state.lastBurstAt_ = aStep.now_.mono_;
  Refill(state, aStep.now_.mono_);
  if (state.newsLeft_ <= 0) {
    ++state.stats_.overBudget_;
    return;
  }
  state.burstPending_ = false;
  if (CountLive(state) <= kTellAllMembers) {
    for (auto& [id, member] : state.members_) {
      if (member.record_.state_ != MemberState::Dead) {
        BurstTo(aStep, member);
      }
    }
    return;
  }
  std::vector<DaemonId> told;
  for (std::size_t i = 0; i < kBurstFanout; ++i) {
    const Member* to = RandomMember(aStep);
    if (to == nullptr ||
        std::find(told.begin(), told.end(), to->record_.id_) != told.end()) {
      continue;
    }
    told.push_back(to->record_.id_);
    BurstTo(aStep, *to);
  }
}

} // namespace camphorfield
