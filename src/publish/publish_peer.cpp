// Exchange of generations among peers, so that a large fleet, or one that is
// cut off from the store, need not load each generation from the store.
#include "core/digest_func.h"
#include "publish/publish_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** A peer that announces a newer generation. */
struct Candidate
{
  DaemonId id_;
  std::string address_;
  bool sameFailureDomain_ = false; ///< Same as this daemon's.
};

const MemberRecord*
FindMember(const PublishState& aState, DaemonId aId)
{
  if (aState.members_ == nullptr) {
    return nullptr;
  }
  for (const MemberRecord& member : *aState.members_) {
    if (member.id_ == aId) {
      return &member;
    }
  }
  return nullptr;
}

std::string
AddressOf(const PublishState& aState, DaemonId aId)
{
  const MemberRecord* member = FindMember(aState, aId);
  return member == nullptr ? std::string() : member->peerAddress_;
}

/** Peers that announce a newer generation and haven't failed. */
std::vector<Candidate>
FindCandidates(const PublishState& aState)
{
  const Generation current = CurrentGeneration(aState);
  std::map<DaemonId, Candidate> found;
  for (const auto& [id, generation] : aState.fetch_.notices_) {
    if (generation > current) {
      found[id] = { id, AddressOf(aState, id), false };
    }
  }
  const auto members = aState.members_;
  for (std::size_t i = 0; members != nullptr && i < members->size(); i++) {
    const MemberRecord& member = (*members)[i];
    if (IsLivePeer(aState, member) && member.generation_ > current) {
      const bool near =
        member.failureDomain_ == aState.settings_.failureDomain_;
      found[member.id_] = { member.id_, member.peerAddress_, near };
    }
  }
  std::vector<Candidate> list;
  for (auto& [id, candidate] : found) {
    if (aState.fetch_.failedPeers_.count(id) == 0) {
      list.push_back(std::move(candidate));
    }
  }
  return list;
}

void
RequestContent(PublishStep& aStep, const Candidate& aPeer, bool aFullContent)
{
  PublishState& state = aStep.state_;
  PeerFetch& fetch = state.fetch_;
  fetch.call_ = PeerCallId{ aStep.rng_() | 1U };
  fetch.peer_ = aPeer.id_;
  fetch.base_ = aFullContent ? Generation{} : CurrentGeneration(state);
  fetch.giveUpAt_ = aStep.now_.mono_ + state.settings_.peerTimeout_;
  fetch.retryAt_ = kNever;
  aStep.out_.emplace_back(
    SendPeer{ aPeer.id_,
              aPeer.address_,
              GenerationRequest{ fetch.call_, {}, fetch.base_ },
              fetch.call_ });
}

void
FailFetch(PublishStep& aStep)
{
  PeerFetch& fetch = aStep.state_.fetch_;
  fetch.failedPeers_.insert(fetch.peer_);
  fetch.notices_.erase(fetch.peer_);
  fetch.call_ = {};
  fetch.giveUpAt_ = kNever;
  fetch.failures_++;
  fetch.retryAt_ = aStep.now_.mono_;
  // All have failed: retry them after a pause.
  if (FindCandidates(aStep.state_).empty()) {
    fetch.failedPeers_.clear();
    fetch.retryAt_ = BackoffAt(aStep, fetch.failures_);
  }
  if (FetchIsExhausted(aStep.state_) && !aStep.state_.reader_.inFlight_) {
    aStep.state_.reader_.nextAt_ =
      std::min(aStep.state_.reader_.nextAt_, BackoffAt(aStep, 0));
  }
}

/** Handle the answer to the content request in flight. */
void
OnFetched(PublishStep& aStep, DaemonId aFrom, const GenerationContent& aContent)
{
  PublishState& state = aStep.state_;
  const bool partial = state.fetch_.base_.IsValid();
  const Generation current = CurrentGeneration(state);
  if (aContent.generation_ <= current) {
    FailFetch(aStep);
    return;
  }
  absl::StatusOr<Content> content =
    DecodeBundle(aContent.content_, *state.content_);
  const bool matchesHeader =
    content.ok() &&
    NewestEntry(content->pointer_).generation_ == aContent.generation_ &&
    NewestEntry(content->pointer_).digest_ == aContent.digest_;
  if (matchesHeader && AdoptContent(aStep, *std::move(content), "peer")) {
    state.fetch_.call_ = {};
    state.fetch_.giveUpAt_ = kNever;
    ConfirmByPeers(aStep);
    return;
  }
  // A part that the peer left out may be missing here: request everything.
  if (partial) {
    RequestContent(aStep, { aFrom, AddressOf(state, aFrom), false }, true);
    return;
  }
  RefuseGeneration(
    aStep, aContent.generation_, "a peer's content doesn't match its digest");
  FailFetch(aStep);
}

} // namespace

bool
IsLivePeer(const PublishState& aState, const MemberRecord& aMember)
{
  return aMember.id_ != aState.settings_.self_ &&
         aMember.state_ != MemberState::Dead;
}

Generation
HighestAnnounced(const PublishState& aState)
{
  Generation highest;
  for (const auto& [id, generation] : aState.fetch_.notices_) {
    highest = std::max(highest, generation);
  }
  if (aState.members_ == nullptr) {
    return highest;
  }
  for (const MemberRecord& member : *aState.members_) {
    if (IsLivePeer(aState, member)) {
      highest = std::max(highest, member.generation_);
    }
  }
  return highest;
}

bool
FetchIsExhausted(const PublishState& aState)
{
  return aState.fetch_.failures_ >= kMaxPeerTries &&
         HighestAnnounced(aState) > CurrentGeneration(aState);
}

void
RunFetch(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  PeerFetch& fetch = state.fetch_;
  if (fetch.call_.IsValid()) {
    if (fetch.giveUpAt_ > aStep.now_.mono_) {
      return;
    }
    FailFetch(aStep);
  }
  if (fetch.retryAt_ != kNever && fetch.retryAt_ > aStep.now_.mono_) {
    return;
  }
  std::vector<Candidate> peers = FindCandidates(state);
  if (peers.empty()) {
    fetch.retryAt_ = kNever;
    return;
  }
  const bool anySameFailureDomain =
    std::any_of(peers.begin(), peers.end(), [](const auto& aPeer) {
      return aPeer.sameFailureDomain_;
    });
  if (anySameFailureDomain) {
    std::erase_if(peers,
                  [](const auto& aPeer) { return !aPeer.sameFailureDomain_; });
  }
  const std::size_t pick = aStep.rng_() % peers.size();
  RequestContent(aStep, peers[pick], false);
}

void
SendNotices(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  const Generation current = CurrentGeneration(state);
  std::vector<const MemberRecord*> peers;
  const auto members = state.members_;
  for (std::size_t i = 0; members != nullptr && i < members->size(); i++) {
    const MemberRecord& member = (*members)[i];
    if (IsLivePeer(state, member) && member.generation_ < current) {
      peers.push_back(&member);
    }
  }
  for (std::size_t i = 0; i < kNoticeFanout && !peers.empty(); i++) {
    const std::size_t pick = aStep.rng_() % peers.size();
    const MemberRecord& peer = *peers[pick];
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
    GenerationContent notice;
    notice.generation_ = current;
    notice.changeId_ = state.current_->changeId_;
    aStep.out_.emplace_back(
      SendPeer{ peer.id_, peer.peerAddress_, std::move(notice), {} });
  }
}

void
OnGenerationRequest(PublishStep& aStep,
                    DaemonId aFrom,
                    const GenerationRequest& aAsk)
{
  PublishState& state = aStep.state_;
  GenerationContent answer;
  answer.call_ = aAsk.call_;
  const Generation current = CurrentGeneration(state);
  const bool newer = current > aAsk.base_ && current >= aAsk.generation_;
  if (newer) {
    const auto base = state.recentManifests_.find(aAsk.base_);
    const Manifest* known =
      base == state.recentManifests_.end() ? nullptr : &base->second;
    answer.generation_ = current;
    answer.changeId_ = state.current_->changeId_;
    answer.digest_ = NewestEntry(state.content_->pointer_).digest_;
    answer.content_ = EncodeBundle(*state.content_, known, aAsk.base_);
  }
  aStep.out_.emplace_back(
    SendPeer{ aFrom, AddressOf(state, aFrom), std::move(answer), aAsk.call_ });
}

void
OnGenerationContent(PublishStep& aStep,
                    DaemonId aFrom,
                    const GenerationContent& aContent)
{
  PublishState& state = aStep.state_;
  state.highestEverAnnounced_ =
    std::max(state.highestEverAnnounced_, aContent.generation_);
  if (aContent.call_.IsValid()) {
    // Late answers to requests that timed out are dropped.
    if (aContent.call_ == state.fetch_.call_ && aFrom == state.fetch_.peer_) {
      OnFetched(aStep, aFrom, aContent);
    }
    return;
  }
  if (aContent.generation_ > CurrentGeneration(state)) {
    state.fetch_.notices_[aFrom] = aContent.generation_;
    state.fetch_.failedPeers_.erase(aFrom);
  }
}

} // namespace camphorfield
