// Takes evidence on content that crashes servers from other daemons and from
// the store.
#include "runtime/gateway_host.h"

#include "gateway/gateway_const.h"
#include "gateway/gateway_func.h"
#include "observe/request_log.h"
#include "runtime/clock.h"

namespace camphorfield {

void
GatewayHost::AdoptEvidence(const QuarantineRumor& aRumor)
{
  const std::uint64_t fingerprint = aRumor.fingerprint_.value_;
  const Now now = ReadClock();
  if (!IsSilenceReport(aRumor.evidence_)) {
    evidence_.Record(fingerprint, aRumor.evidence_, false);
  }
  if (GatewayAdoptSuspect(gateway_, fingerprint, aRumor.evidence_, now)) {
    LogQuarantine(fingerprint, "evidence of another daemon");
  }
  if (const auto reply =
        GatewayReplyToReport(gateway_, aRumor.evidence_, now)) {
    SpreadEvidence(*reply);
  }
}

void
GatewayHost::AdoptStoredEvidence(const EvidenceItems& aItems)
{
  const Now now = ReadClock();
  for (const auto& [fingerprint, item] : aItems) {
    if (GatewayAdoptSuspect(
          gateway_,
          fingerprint,
          item.evidence_,
          now,
          Duration(item.untilUnixMicros_ - now.unixMicros_))) {
      LogQuarantine(fingerprint, "evidence in the store");
    }
  }
}

void
GatewayHost::LogQuarantine(std::uint64_t aFingerprint, const char* aReason)
{
  SuspicionRecord record;
  record.event_ = SuspicionEvent::Quarantined;
  record.fingerprint_ = aFingerprint;
  record.reason_ = aReason;
  LogSuspicion(record);
}

// Any rule does on which daemons with the same view agree.
bool
GatewayHost::IsEvidenceKeeper() const
{
  return !stopping_ && !members_->empty() &&
         members_->front().id_ == membership_.self_.id_;
}

} // namespace camphorfield
