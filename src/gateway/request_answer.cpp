// Finishes requests: builds the answer for the caller, the log record and the
// counters.
#include "gateway/gateway_internal.h"
#include "gateway/topk_merge.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace camphorfield {

namespace {

void
CountAnswerTime(RouteLoad& aLoad, Duration aTook)
{
  const auto* bound =
    std::lower_bound(kAnswerTimeBounds.begin(), kAnswerTimeBounds.end(), aTook);
  ++aLoad.answerTimeCounts_[static_cast<std::size_t>(
    bound - kAnswerTimeBounds.begin())];
  aLoad.answerTimeSum_ += std::chrono::duration<double>(aTook).count();
}

void
CountAnswer(GatewayState& aState, const GatewayRun& aRun, ProxyCode aCode)
{
  GatewayStats& stats = aState.stats_;
  ++stats.byCode_[static_cast<std::size_t>(aCode)];
  stats.late_ += aCode <= ProxyCode::Merged && aRun.late_ ? 1 : 0;
  if (aCode == ProxyCode::Merged) {
    const std::size_t missing = aRun.parts_.size() - aRun.done_;
    stats.partial_ += missing > 0 ? 1 : 0;
    stats.shardsAsked_ += aRun.parts_.size();
    stats.shardsMissing_ += missing;
  }
}

void
AppendPart(const GatewayState& aState,
           const RequestPart& aPart,
           std::string& aText)
{
  static constexpr std::array<const char*,
                              static_cast<std::size_t>(PartPhase::End)>
    kPhaseNames{ "queued", "held", "unanswered", "answered", "failed" };
  absl::StrAppend(&aText,
                  aText.empty() ? "" : "; ",
                  aState.services_[aPart.service_].name_,
                  " ",
                  kPhaseNames[static_cast<std::size_t>(aPart.phase_)],
                  " sends ",
                  aPart.sends_,
                  " at");
  for (const std::uint64_t key : aPart.tried_) {
    const std::uint64_t slot = key & kSlotMask;
    const Backend& backend = aState.backends_.slots_[slot];
    absl::StrAppend(
      &aText, " ", backend.key_ == key ? backend.entry_.id_ : "gone");
  }
}

void
Record(GatewayStep& aStep, const GatewayRun& aRun, const ProxyAnswer& aAnswer)
{
  RequestRecord record;
  record.requestId_ = aRun.message_->requestId_;
  record.route_ = aRun.route_->name_;
  record.version_ = aRun.config_->version_;
  record.code_ = aAnswer.code_;
  record.status_ = aAnswer.status_;
  record.took_ = aStep.Time() - aRun.arrivedAt_;
  record.shards_ = static_cast<std::uint32_t>(aRun.parts_.size());
  record.covered_ = aRun.done_;
  record.sends_ = aRun.sends_;
  record.hedges_ = aRun.hedges_;
  record.late_ = aRun.late_;
  record.waitedBefore_ = aRun.waitedBefore_;
  for (const RequestPart& part : aRun.parts_) {
    if (part.phase_ != PartPhase::Done || part.sends_ > 1) {
      AppendPart(aStep.state_, part, record.reason_);
    }
  }
  aStep.out_.emplace_back(std::move(record));
}

void
Finish(GatewayStep& aStep, GatewayRun& aRun, ProxyAnswer&& aAnswer)
{
  aAnswer.id_ = aRun.id_;
  const bool whole =
    aAnswer.code_ == ProxyCode::Forwarded ||
    (aAnswer.code_ == ProxyCode::Merged && aAnswer.missing_ == 0);
  if (whole) {
    RefuteSuspicion(aStep, aRun);
  }
  if (aAnswer.code_ <= ProxyCode::Merged) {
    CountAnswerTime(*aRun.load_, aStep.Time() - aRun.arrivedAt_);
  }
  CountAnswer(aStep.state_, aRun, aAnswer.code_);
  Record(aStep, aRun, aAnswer);
  aStep.out_.emplace_back(std::move(aAnswer));
  CloseRun(aStep, aRun);
}

// A request counts as not run only if no server can have started it: an attempt
// in flight or broken off may have run.
bool
MayHaveRun(const GatewayRun& aRun)
{
  return aRun.mayHaveRun_ || aRun.done_ > 0 ||
         std::any_of(aRun.parts_.begin(),
                     aRun.parts_.end(),
                     [](const RequestPart& aPart) {
                       return aPart.attempts_[0] != 0 ||
                              aPart.attempts_[1] != 0;
                     });
}

} // namespace

// Attempts of a non-idempotent request are not cancelled.
void
CloseRun(GatewayStep& aStep, GatewayRun& aRun)
{
  GatewayState& state = aStep.state_;
  const bool stop = aRun.route_->kind_ == RequestKind::Idempotent;
  SettleSuspicion(aStep, aRun);
  for (RequestPart& part : aRun.parts_) {
    if (part.phase_ == PartPhase::Waiting) {
      DequeuePart(state, part);
    }
    const auto attempts = part.attempts_;
    for (const std::uint64_t attempt : attempts) {
      if (attempt != 0 && stop) {
        CancelAttempt(aStep, attempt);
      }
    }
  }
  --aRun.load_->inFlight_;
  state.runOf_.erase(aRun.id_);
  const std::uint64_t key = aRun.key_;
  aRun = GatewayRun{};
  aRun.key_ = key;
  FreeSlot(state.runs_, aRun);
}

void
FinishForwarded(GatewayStep& aStep, GatewayRun& aRun, BackendAnswer&& aFrom)
{
  ProxyAnswer answer;
  answer.code_ = ProxyCode::Forwarded;
  answer.status_ = aFrom.status_;
  answer.fields_ = std::move(aFrom.fields_);
  answer.body_ = std::move(aFrom.body_);
  Finish(aStep, aRun, std::move(answer));
}

void
FinishMerged(GatewayStep& aStep, GatewayRun& aRun)
{
  ProxyAnswer answer;
  answer.code_ = ProxyCode::Merged;
  std::vector<std::string_view> bodies;
  for (RequestPart& part : aRun.parts_) {
    if (part.phase_ == PartPhase::Done) {
      bodies.emplace_back(part.body_);
      answer.proofs_.push_back(std::move(part.proof_));
    }
  }
  answer.missing_ = static_cast<std::uint32_t>(aRun.parts_.size()) - aRun.done_;
  answer.body_ = MergeTopRecords(bodies, aRun.route_->topRecords_);
  Finish(aStep, aRun, std::move(answer));
}

void
FinishFailed(GatewayStep& aStep,
             GatewayRun& aRun,
             ProxyCode aCode,
             Duration aNotBefore)
{
  ProxyAnswer answer;
  answer.code_ = aCode;
  if (!MayHaveRun(aRun)) {
    answer.code_ = aRun.sends_ > 0 ? ProxyCode::NotRun : ProxyCode::NoServer;
    answer.retryAfter_ =
      std::max(aNotBefore, ChooseRetryAfter(*aRun.route_, aStep.rng_));
  }
  Finish(aStep, aRun, std::move(answer));
}

void
RejectRequest(GatewayStep& aStep,
              const ProxyRequest& aRequest,
              ProxyCode aCode,
              const GatewayRoute* aRoute)
{
  ProxyAnswer answer;
  answer.id_ = aRequest.id_;
  answer.code_ = aCode;
  answer.retryAfter_ = aRoute == nullptr
                         ? Duration(kRetryAfterNotReady)
                         : ChooseRetryAfter(*aRoute, aStep.rng_);
  if (aCode == ProxyCode::Stopping) {
    // Another daemon can take it at once.
    answer.retryAfter_ = kRetryAfterFloor;
  }
  ++aStep.state_.stats_.byCode_[static_cast<std::size_t>(aCode)];
  RequestRecord record;
  record.requestId_ = aRequest.message_->requestId_;
  record.code_ = aCode;
  if (aRoute != nullptr) {
    const RouteLoad& load = aStep.state_.loads_[aRoute->name_];
    record.route_ = aRoute->name_;
    record.reason_ = absl::StrCat(
      "in flight ", load.inFlight_, " of ", std::floor(load.window_));
  } else {
    record.reason_ =
      absl::StrCat(aRequest.message_->host_, aRequest.message_->path_);
  }
  record.version_ =
    aStep.state_.config_ == nullptr ? 0 : aStep.state_.config_->version_;
  aStep.out_.emplace_back(std::move(record));
  aStep.out_.emplace_back(std::move(answer));
}

} // namespace camphorfield
