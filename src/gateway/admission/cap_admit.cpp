// Requests under a cap that wait for the owner's answer. Meanwhile their caller
// may leave, and the configuration may change: they are admitted anew once they
// have a token, and return it if they are rejected or end without a send.
#include "gateway/admission/admission_internal.h"
#include "gateway/gateway_func.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/route_match.h"

#include <utility>

namespace camphorfield {

namespace {

void
RejectAboveCap(GatewayStep& aStep,
               const ProxyRequest& aRequest,
               const CapVerdict& aVerdict)
{
  const GatewayState& state = aStep.state_;
  RejectionDetail detail;
  detail.reason_ = aVerdict.reason_;
  detail.notBefore_ = aVerdict.retryAfter_;
  const std::uint32_t organisation = FindOrganisation(
    state.organisations_, DigestKey(aRequest.key_, state.settings_.keySeed_));
  if (organisation != kNoOrganisation) {
    detail.organisation_ = (*state.config_->organisations_)[organisation].name_;
  }
  RejectRequest(aStep,
                aRequest,
                ProxyCode::RateCapped,
                FindRoute(*state.config_,
                          aRequest.message_->host_,
                          aRequest.message_->path_),
                detail);
}

} // namespace

void
AwaitCapToken(GatewayStep& aStep, const ProxyRequest& aRequest, RateCap& aCap)
{
  GatewayState& state = aStep.state_;
  state.awaiting_[aRequest.id_.value_] =
    AwaitingToken{ aRequest, aCap.organisation_, aStep.Time() };
  CapOutput output;
  TakeCapToken(
    state.caps_, aCap, aRequest.id_.value_, aStep.Time(), aStep.rng_, output);
  ApplyCapOutput(aStep, output);
}

void
ReturnToken(GatewayStep& aStep, std::uint64_t aCap)
{
  RateCap* cap = aCap == 0 ? nullptr : FindCap(aStep.state_.caps_, aCap);
  if (cap != nullptr) {
    ReturnCapToken(aStep.state_.caps_, *cap, aStep.Time());
  }
}

void
ApplyCapOutput(GatewayStep& aStep, CapOutput& aOutput)
{
  for (const CapSend& send : aOutput.sends_) {
    aStep.out_.emplace_back(send);
  }
  for (const CapVerdict& verdict : aOutput.verdicts_) {
    const auto found = aStep.state_.awaiting_.find(verdict.request_);
    if (found == aStep.state_.awaiting_.end()) {
      // The caller has left; the token expires.
      continue;
    }
    AwaitingToken awaiting = std::move(found->second);
    aStep.state_.awaiting_.erase(found);
    if (!verdict.admitted_) {
      RejectAboveCap(aStep, awaiting.request_, verdict);
      continue;
    }
    Duration& timeout = awaiting.request_.callerTimeout_;
    if (timeout.count() > 0) {
      timeout =
        std::max(timeout - (aStep.Time() - awaiting.since_), Duration(1));
    }
    AdmitRequest(aStep, awaiting.request_, awaiting.cap_);
  }
}

void
GatewayOnEvent(GatewayState& aState,
               const CapReceived& aReceived,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  CapOutput output;
  CapsOnMessage(aState.caps_,
                aReceived.from_,
                aReceived.message_,
                aNow.mono_,
                aRng,
                output);
  ApplyCapOutput(step, output);
}

void
GatewaySetCapView(GatewayState& aState,
                  const CapView& aView,
                  const Now& aNow,
                  Rng& aRng,
                  GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  CapOutput output;
  CapsAdoptView(aState.caps_, aView, aNow.mono_, output);
  ApplyCapOutput(step, output);
}

} // namespace camphorfield
