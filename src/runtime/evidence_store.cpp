// Runs the calls of the evidence log. Each has a connection of its own: they
// are rare, and a late reply can't be taken for that to another call.
#include "runtime/evidence_store.h"

#include "observe/log.h"
#include "runtime/clock.h"

#include <boost/fiber/operations.hpp>
#include <random>
#include <utility>

namespace camphorfield {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kPollInterval = std::chrono::milliseconds(250);

} // namespace

/** State shared by EvidenceStore and its fiber. */
struct EvidenceStoreState
{
  Worker& worker_;
  MemoryAccount* account_;
  EvidenceCodec codec_;
  std::string address_;
  std::function<bool()> isKeeper_;
  std::function<void(const EvidenceItems&)> handler_;
  Rng rng_{ std::random_device{}() };
  EvidenceLog log_;
};

namespace {

EvidenceReply
Exchange(EvidenceStoreState& aState, const EvidenceCall& aCall)
{
  HttpClient client(aState.worker_.Context(), aState.account_);
  HttpExchange exchange;
  exchange.end_ = client.Connect(aState.address_, kConnectTimeout);
  if (exchange.end_ == HttpEnd::Ok) {
    exchange = client.Exchange(aState.codec_.encodeCall_(aCall), kCallTimeout);
  }
  return aState.codec_.decodeReply_(aCall, exchange);
}

void
RunCalls(const std::shared_ptr<EvidenceStoreState>& aState)
{
  while (true) {
    const auto call =
      NextEvidenceCall(aState->log_, aState->isKeeper_(), ReadClock());
    if (!call) {
      boost::this_fiber::sleep_for(kPollInterval);
      continue;
    }
    EvidenceReply reply = Exchange(*aState, *call);
    const EvidenceStatus status = reply.status_;
    if (status >= EvidenceStatus::Refused && aState->log_.failures_ == 0) {
      WriteLog(
        LogLevel::Warning,
        "crash evidence can't be kept in the store",
        { { "reason",
            status == EvidenceStatus::Lost ? "no answer" : "refused" } });
    }
    const EvidenceItems learned = TakeEvidenceReply(
      aState->log_, std::move(reply), ReadClock(), aState->rng_);
    if (!learned.empty()) {
      WriteLog(LogLevel::Info,
               "crash evidence read from the store",
               { { "contents", std::to_string(learned.size()) } });
      aState->handler_(learned);
    }
  }
}

} // namespace

EvidenceStore::EvidenceStore(Worker& aWorker,
                             MemoryAccount* aAccount,
                             EvidenceCodec aCodec,
                             std::string aAddress,
                             bool aEnabled,
                             std::function<bool()> aIsKeeper,
                             std::function<void(const EvidenceItems&)> aHandler)
  : state_(std::make_shared<EvidenceStoreState>(
      EvidenceStoreState{ aWorker,
                          aAccount,
                          aCodec,
                          std::move(aAddress),
                          std::move(aIsKeeper),
                          std::move(aHandler) }))
{
  state_->log_ = MakeEvidenceLog(aEnabled, ReadClock().mono_, state_->rng_);
}

void
EvidenceStore::Start()
{
  if (state_->log_.enabled_) {
    state_->worker_.Spawn([state = state_]() { RunCalls(state); });
  }
}

void
EvidenceStore::Record(std::uint64_t aFingerprint,
                      const CrashEvidence& aEvidence,
                      bool aIsFinder)
{
  RecordEvidence(state_->log_,
                 aFingerprint,
                 aEvidence,
                 aIsFinder,
                 ReadClock(),
                 state_->rng_);
}

void
EvidenceStore::Recheck()
{
  RecheckEvidence(state_->log_, ReadClock().mono_, state_->rng_);
}

const EvidenceLog&
EvidenceStore::Log() const
{
  return state_->log_;
}

} // namespace camphorfield
