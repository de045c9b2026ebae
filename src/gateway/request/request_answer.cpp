// Finishes requests: builds the answer for the caller, the log record and the
// counters.
#include "gateway/admission/admission_internal.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/topk_merge.h"

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

/** Expected work of the latest send, then for the chosen server and for the
 * others the expected time and the part of it that is work ahead. */
void
AppendPlacement(const GatewayState& aState,
                const PlacementNote& aNote,
                std::string& aText)
{
  if (aNote.work_ == 0.0F) {
    return;
  }
  const auto whole = [](float aMicros) {
    return static_cast<std::int64_t>(aMicros);
  };
  absl::StrAppend(&aText, " expected work ", whole(aNote.work_), " us:");
  for (std::size_t i = 0; i < kNotedCandidates; ++i) {
    const std::uint64_t key = aNote.servers_[i];
    if (key == 0) {
      continue;
    }
    const Backend& backend = aState.backends_.slots_[key & kSlotMask];
    absl::StrAppend(&aText,
                    i == 0 ? " chosen " : ", ",
                    backend.key_ == key ? backend.entry_.id_ : "gone",
                    " ",
                    whole(aNote.total_[i]),
                    " us with ",
                    whole(aNote.wait_[i]),
                    " ahead");
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
  AppendPlacement(aState, aPart.note_, aText);
}

/** Counts an outcome for its organisation, if it has one. */
void
CountOrganisation(GatewayState& aState, const RequestRecord& aRecord)
{
  if (!aRecord.organisation_.empty()) {
    CountOutcome(aState.organisationStats_[aRecord.organisation_],
                 aRecord.code_);
  }
}

void
Record(GatewayStep& aStep, const GatewayRun& aRun, const ProxyAnswer& aAnswer)
{
  RequestRecord record;
  record.requestId_ = aRun.message_->requestId_;
  record.route_ = aRun.route_->name_;
  record.organisation_ = OrganisationName(aRun).value_or("");
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
  CountOrganisation(aStep.state_, record);
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

/** Least time until a request's evacuated servers may return. */
Duration
TimeUntilReturn(const GatewayState& aState, const GatewayRun& aRun)
{
  const bool evacuated =
    !aState.evacuations_.since_.empty() &&
    std::any_of(aRun.parts_.begin(),
                aRun.parts_.end(),
                [&aState](const RequestPart& aPart) {
                  return IsServiceEvacuated(aState,
                                            aState.services_[aPart.service_]);
                });
  return evacuated ? kRetryAfterEvacuated : Duration::zero();
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

/** Records the attempts that are in flight at the end of their run. */
void
RecordUnanswered(GatewayStep& aStep, const GatewayRun& aRun)
{
  for (const RequestPart& part : aRun.parts_) {
    if (part.phase_ == PartPhase::Done) {
      continue;
    }
    for (const std::uint64_t key : part.attempts_) {
      if (key != 0) {
        RecordLostAttempt(aStep,
                          aRun,
                          *FindSlot(aStep.state_.attempts_, key),
                          AttemptLoss::Cancelled);
      }
    }
  }
}

} // namespace

void
HoldAnswer(GatewayState& aState,
           GatewayRun& aRun,
           std::uint64_t aBefore,
           std::uint64_t aBytes)
{
  aState.heldBytes_ -= aRun.heldBytes_;
  aRun.heldBytes_ = aRun.heldBytes_ - aBefore + aBytes;
  aState.heldBytes_ += aRun.heldBytes_;
}

// Attempts of a non-idempotent request are not cancelled.
void
CloseRun(GatewayStep& aStep, GatewayRun& aRun)
{
  GatewayState& state = aStep.state_;
  const bool stop = aRun.route_->kind_ == RequestKind::Idempotent;
  RecordUnanswered(aStep, aRun);
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
  if (aRun.cap_ != 0 && aRun.sends_ == 0) {
    ReturnToken(aStep, aRun.cap_);
  }
  --aRun.load_->inFlight_;
  --aRun.load_->fair_.inFlight_[FairClass(aRun.priority_)];
  state.runOf_.erase(aRun.id_);
  state.heldBytes_ -= aRun.heldBytes_;
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
    answer.retryAfter_ = std::max({ aNotBefore,
                                    ChooseRetryAfter(*aRun.route_, aStep.rng_),
                                    TimeUntilReturn(aStep.state_, aRun) });
  }
  Finish(aStep, aRun, std::move(answer));
}

// A query that has begun may finish from the parts that have been sent; the
// others would reach servers after the key was withdrawn.
void
RevokeRun(GatewayStep& aStep, GatewayRun& aRun)
{
  ++aStep.state_.stats_.revokedRuns_;
  aRun.revoked_ = true;
  if (!MayHaveRun(aRun)) {
    ProxyAnswer answer;
    answer.code_ = ProxyCode::Unauthorized;
    Finish(aStep, aRun, std::move(answer));
    return;
  }
  const std::uint64_t key = aRun.key_;
  for (std::uint32_t i = 0; i < aRun.parts_.size(); ++i) {
    if (aRun.parts_[i].phase_ == PartPhase::Waiting) {
      DequeuePart(aStep.state_, aRun.parts_[i]);
      FailPart(aStep, aRun, i);
      // The failure of a part may end the run.
      if (aRun.key_ != key) {
        return;
      }
    }
  }
}

void
RejectRequest(GatewayStep& aStep,
              const ProxyRequest& aRequest,
              ProxyCode aCode,
              const GatewayRoute* aRoute,
              const RejectionDetail& aDetail)
{
  ProxyAnswer answer;
  answer.id_ = aRequest.id_;
  answer.code_ = aCode;
  answer.retryAfter_ = aRoute == nullptr
                         ? Duration(kRetryAfterNotReady)
                         : ChooseRetryAfter(*aRoute, aStep.rng_);
  answer.retryAfter_ = std::max(answer.retryAfter_, aDetail.notBefore_);
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
  record.organisation_ = aDetail.organisation_;
  if (!aDetail.reason_.empty()) {
    record.reason_ = aDetail.reason_;
  }
  CountOrganisation(aStep.state_, record);
  record.version_ =
    aStep.state_.config_ == nullptr ? 0 : aStep.state_.config_->version_;
  aStep.out_.emplace_back(std::move(record));
  aStep.out_.emplace_back(std::move(answer));
}

} // namespace camphorfield
