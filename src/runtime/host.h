/** Feeds events to a daemon's decision core and executes its decisions. */
#pragma once

#include "daemon/daemon_base.h"
#include "machine/decision_type.h"
#include "observe/timeline.h"
#include "runtime/peer_link.h"
#include "runtime/server_link.h"
#include "runtime/worker.h"

#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphorfield {

class PlatformClient;

/** Answer to a caller's or operator's request. */
using HostAnswer =
  std::variant<QueryAnswer, OrderAnswer, EntriesAnswer, OperatorAnswer>;

using HostPromise = boost::fibers::promise<HostAnswer>;

/** Called with the exit status once the daemon has shut down. */
using ExitHandler = std::function<void(int aStatus)>;

/**
 * Runs one daemon: its core, its connections and its timer. Lock order: the
 * core's lock, then a worker's queue or the timeline's lock. No lock is held
 * while a fiber is suspended.
 */
class Host
{
public:
  Host(const DaemonSettings& aSettings, WorkerPool& aPool, ExitHandler aExit);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /**
   * Starts listening for peers and starts the core.
   * @return An error when the peer address can't be bound.
   */
  absl::Status Start();

  /** Passes an event to the core and executes the resulting decisions.
   * Thread-safe. */
  void Submit(const Event& aEvent);

  /** Allocates a request id whose answer is delivered on a worker's thread. */
  std::uint64_t IssueRequestId(std::uint32_t aWorker);

  /**
   * Submits a request and suspends the fiber until its answer arrives.
   * @param aId Request id from IssueRequestId for this fiber's worker.
   * @param aEvent The request, which carries the same id.
   */
  HostAnswer SubmitAndWait(std::uint64_t aId, const Event& aEvent);

  /**
   * Ends a SubmitAndWait whose caller has disconnected; a later answer is
   * dropped. Call on the thread of the worker that the id was issued for.
   */
  void Abandon(std::uint64_t aId);

  /** Calls aReader with the core's state, under the core's lock. */
  template<typename Reader>
  auto Read(Reader aReader)
  {
    const std::lock_guard lock(coreMutex_);
    return aReader(static_cast<const DaemonState&>(state_));
  }

  const Timeline& GetTimeline() const { return timeline_; }

private:
  using PendingMap = std::unordered_map<std::uint64_t, HostPromise*>;

  void HandleEvent(const Event& aEvent);
  void ApplyDecision(Decision& aDecision);
  void SendToPeer(SendPeer& aSend);
  void Complete(std::uint64_t aId, HostAnswer aAnswer);
  void Fulfil(std::uint64_t aId, HostAnswer aAnswer);
  void ArmTimer(TimePoint aWake);
  void OnFrame(const std::string& aPayload);
  HybridTime NextHybridTime(std::int64_t aUnixMicros);

  DaemonSettings settings_;
  WorkerPool& pool_;
  ExitHandler exit_;
  Timeline timeline_;
  ServerLinks servers_;
  PeerLinks peers_;
  std::unique_ptr<PlatformClient> platform_;
  std::vector<PendingMap> pending_; ///< Per worker; used only on its thread.
  std::atomic<std::uint64_t> nextRequest_{ 1 };
  boost::asio::steady_timer timer_; ///< Used only on worker 0's thread.

  std::mutex coreMutex_; ///< Guards the fields below.
  DaemonState state_;
  Rng rng_;
  HybridTime hybridTime_;
  Decisions decisions_; ///< Reused to avoid allocation.
  TimePoint timerExpiry_ = kNever;
};

} // namespace camphorfield
