// Figures of a replay of caps.
#include "gateway/cap_replay_fixture.h"
#include "gateway/shared_fixture.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace camphorfield {

void
ReportCapFigures(const char* aName, const CapReplayResult& aResult)
{
  if (std::getenv("CAMPHORFIELD_FIGURES") == nullptr) {
    return;
  }
  std::printf("%-24s asked %.0f admitted %.0f refused below the cap %.2f%%, "
              "with fixed shares %.2f%%, nearest to the bound %.1f requests, "
              "%.2f messages a request, owners of %.0f%% lost\n",
              aName,
              aResult.asked_,
              aResult.admitted_,
              aResult.lossShare_ * 100.0,
              aResult.fixedLossShare_ * 100.0,
              aResult.excess_,
              aResult.messagesPerRequest_,
              aResult.affected_ * 100.0);
}

CapReplayResult
CapReplay::Result() const
{
  CapReplayResult result;
  double reference = 0.0;
  double missing = 0.0;
  double fixedMissing = 0.0;
  for (const Customer& customer : customers_) {
    result.admitted_ += static_cast<double>(customer.sent_.size());
    const std::size_t largest =
      CountLargestWindow(customer.sent_, kCapWindow, customer.allowedFrom_);
    if (largest > 0) {
      result.excess_ = std::max(
        result.excess_, static_cast<double>(largest) - customer.allowed_);
    }
    for (const auto& [number, window] : customer.windows_) {
      reference += window[0];
      missing += std::max(window[0] - window[1], 0.0);
      fixedMissing += std::max(window[0] - window[2], 0.0);
    }
  }
  result.asked_ = asked_;
  result.affected_ = affected_;
  result.lossShare_ = missing / std::max(reference, 1.0);
  result.fixedLossShare_ = fixedMissing / std::max(reference, 1.0);
  result.messagesPerRequest_ = static_cast<double>(messages_) / asked_;
  return result;
}

} // namespace camphorfield
