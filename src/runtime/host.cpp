// Host of a daemon: serializes events from all worker threads under one lock
// and routes each answer back to the worker whose fiber waits for it.
#include "runtime/host.h"

#include "daemon/daemon_func.h"
#include "observe/log.h"
#include "peer/peer_codec.h"
#include "platform/platform_client.h"
#include "runtime/clock.h"

#include <type_traits>
#include <utility>

namespace camphorfield {

namespace {

// The low bits of a request id hold the index of its worker.
constexpr unsigned kWorkerBits = 8;

std::uint64_t
WorkerOf(std::uint64_t aRequestId)
{
  return aRequestId & ((1U << kWorkerBits) - 1);
}

std::string
RequestIdPrefix(const DaemonSettings& aSettings)
{
  return aSettings.name_ + "." + std::to_string(aSettings.incarnation_.value_);
}

} // namespace

Host::Host(const DaemonSettings& aSettings,
           WorkerPool& aPool,
           ExitHandler aExit)
  : settings_(aSettings)
  , pool_(aPool)
  , exit_(std::move(aExit))
  , timeline_(aSettings.name_, aSettings.timelineEvents_)
  , servers_(
      aPool,
      [this](const Event& aEvent) { Submit(aEvent); },
      RequestIdPrefix(aSettings))
  , peers_(
      aPool,
      [this](const Event& aEvent) { Submit(aEvent); },
      [this](const std::string& aPayload) { OnFrame(aPayload); })
  , platform_(std::make_unique<PlatformClient>(
      aPool,
      [this](const Event& aEvent) { Submit(aEvent); },
      aSettings.platformAddress_))
  , pending_(aPool.Size())
  , timer_(aPool.At(0).Context())
  , rng_(aSettings.seed_)
{
  state_ = MakeDaemonState(aSettings, ReadClock(), rng_);
}

Host::~Host() = default;

absl::Status
Host::Start()
{
  absl::Status status = peers_.Listen(settings_.peerAddress_);
  if (!status.ok()) {
    return status;
  }
  Submit(Tick{});
  return absl::OkStatus();
}

void
Host::Submit(const Event& aEvent)
{
  const std::lock_guard lock(coreMutex_);
  HandleEvent(aEvent);
}

// Decisions are posted to the workers' queues under the lock, so that decisions
// of two events about one connection stay in order.
void
Host::HandleEvent(const Event& aEvent)
{
  const Now now = ReadClock();
  if (const auto* message = std::get_if<PeerMessage>(&aEvent)) {
    hybridTime_ = std::max(hybridTime_, message->sent_);
  }
  decisions_.clear();
  DaemonOnEvent(state_, aEvent, now, rng_, decisions_);
  for (Decision& decision : decisions_) {
    ApplyDecision(decision);
  }
  const TimePoint wake = DaemonNextWake(state_);
  if (wake < timerExpiry_) {
    timerExpiry_ = wake;
    ArmTimer(wake);
  }
}

// Hybrid logical clock: the logical part keeps causal order among events of one
// microsecond and after the wall clock was set back.
HybridTime
Host::NextHybridTime(std::int64_t aUnixMicros)
{
  if (aUnixMicros > hybridTime_.unixMicros_) {
    hybridTime_ = HybridTime{ aUnixMicros, 0 };
  } else {
    ++hybridTime_.logical_;
  }
  return hybridTime_;
}

void
Host::ApplyDecision(Decision& aDecision)
{
  std::visit(
    [this](auto& aItem) {
      using Item = std::decay_t<decltype(aItem)>;
      if constexpr (std::is_same_v<Item, QueryAnswer> ||
                    std::is_same_v<Item, OrderAnswer> ||
                    std::is_same_v<Item, EntriesAnswer> ||
                    std::is_same_v<Item, OperatorAnswer>) {
        const std::uint64_t id = aItem.id_.value_;
        Complete(id, std::move(aItem));
      } else if constexpr (std::is_same_v<Item, OpenConnection>) {
        servers_.Open(aItem);
      } else if constexpr (std::is_same_v<Item, CloseConnection>) {
        servers_.Close(aItem);
      } else if constexpr (std::is_same_v<Item, SubRequest>) {
        servers_.Send(aItem);
      } else if constexpr (std::is_same_v<Item, SendPeer>) {
        SendToPeer(aItem);
      } else if constexpr (std::is_same_v<Item, PlatformCall>) {
        platform_->Call(aItem);
      } else if constexpr (std::is_same_v<Item, TimelineRecord>) {
        timeline_.Add(NextHybridTime(ReadClock().unixMicros_),
                      std::move(aItem));
      } else if constexpr (std::is_same_v<Item, ExitProcess>) {
        exit_(aItem.status_);
      }
    },
    aDecision);
}

void
Host::SendToPeer(SendPeer& aSend)
{
  PeerMessage message;
  message.from_ = state_.self_;
  message.fromIncarnation_ = settings_.incarnation_;
  message.sent_ = NextHybridTime(ReadClock().unixMicros_);
  message.body_ = std::move(aSend.body_);
  PeerFrame frame;
  frame.to_ = aSend.to_;
  frame.address_ = std::move(aSend.address_);
  frame.call_ = aSend.call_;
  frame.payload_ = EncodePeerMessage(message);
  peers_.Send(std::move(frame));
}

void
Host::OnFrame(const std::string& aPayload)
{
  absl::StatusOr<PeerMessage> message = DecodePeerMessage(aPayload);
  if (!message.ok()) {
    WriteLog(LogLevel::Warning,
             "malformed peer message dropped",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  Submit(*std::move(message));
}

std::uint64_t
Host::IssueRequestId(std::uint32_t aWorker)
{
  return (nextRequest_++ << kWorkerBits) | aWorker;
}

HostAnswer
Host::SubmitAndWait(std::uint64_t aId, const Event& aEvent)
{
  HostPromise promise;
  boost::fibers::future<HostAnswer> future = promise.get_future();
  pending_[WorkerOf(aId)].emplace(aId, &promise);
  Submit(aEvent);
  return future.get();
}

void
Host::Abandon(std::uint64_t aId)
{
  Submit(CallerDisconnected{ CallerRequestId{ aId } });
  QueryAnswer nothing;
  nothing.code_ = ResultCode::Internal;
  Fulfil(aId, nothing);
}

void
Host::Complete(std::uint64_t aId, HostAnswer aAnswer)
{
  auto answer = std::make_shared<HostAnswer>(std::move(aAnswer));
  pool_.At(WorkerOf(aId)).Post([this, aId, answer]() {
    Fulfil(aId, std::move(*answer));
  });
}

// The entry is removed before the fiber wakes: the core's answer may still
// arrive after Abandon and must find none.
void
Host::Fulfil(std::uint64_t aId, HostAnswer aAnswer)
{
  PendingMap& pending = pending_[WorkerOf(aId)];
  const auto found = pending.find(aId);
  if (found == pending.end()) {
    return;
  }
  HostPromise* promise = found->second;
  pending.erase(found);
  promise->set_value(std::move(aAnswer));
}

void
Host::ArmTimer(TimePoint aWake)
{
  pool_.At(0).Post([this, aWake]() {
    timer_.expires_at(ToSteady(aWake));
    timer_.async_wait([this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      const std::lock_guard lock(coreMutex_);
      timerExpiry_ = kNever;
      HandleEvent(Tick{});
    });
  });
}

} // namespace camphorfield
