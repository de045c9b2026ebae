/** Carries events into the daemon's decision core and decisions out of it. */
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

/** Answer that a session's fiber waits for. */
using HostAnswer =
  std::variant<QueryAnswer, OrderAnswer, EntriesAnswer, OperatorAnswer>;

using HostPromise = boost::fibers::promise<HostAnswer>;

/** What the host does when the daemon has ended. */
using ExitHandler = std::function<void(int aStatus)>;

/**
 * One daemon's host. Lock order: the core's lock, then a worker's queue or the
 * time line's lock. No lock is held while a fiber waits.
 */
class Host
{
public:
  Host(const DaemonSettings& aSettings, WorkerPool& aPool, ExitHandler aExit);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /** Begins to accept peers and starts the core. */
  absl::Status Start();

  /** Hands in an event. Thread-safe. */
  void Submit(const Event& aEvent);

  /** Issues a request id whose answer goes to a worker. */
  std::uint64_t IssueRequestId(std::uint32_t aWorker);

  /**
   * Hands in a request and waits for its answer; suspends the fiber.
   * @param aId Request id issued for this fiber's worker.
   * @param aEvent The request, with the same id.
   */
  HostAnswer SubmitAndWait(std::uint64_t aId, const Event& aEvent);

  /**
   * Ends an Ask whose caller has gone; its answer is not wanted any more.
   * Call on the thread of the worker that the id was issued for.
   */
  void Abandon(std::uint64_t aId);

  /** Reads a value out of the core's state under its lock. */
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
  std::vector<PendingMap> pending_; ///< One for each worker's thread.
  std::atomic<std::uint64_t> nextRequest_{ 1 };
  boost::asio::steady_timer timer_; ///< Used on the thread of worker 0.

  std::mutex coreMutex_; ///< Guards the fields below.
  DaemonState state_;
  Rng rng_;
  HybridTime hybridTime_;
  Decisions decisions_; ///< Kept for its memory.
  TimePoint timerExpiry_ = kNever;
};

} // namespace camphorfield
