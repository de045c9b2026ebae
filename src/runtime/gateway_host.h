/** Carries events into the gateway's decision core and decisions out of it. */
#pragma once

#include "discovery/table_feed.h"
#include "discovery/table_sync.h"
#include "gateway/gateway_base.h"
#include "machine/decision_type.h"
#include "membership/membership_base.h"
#include "runtime/backend_link.h"
#include "runtime/peer_link.h"
#include "runtime/store_reader.h"
#include "runtime/worker.h"

#include <absl/status/statusor.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace camphorfield {

// Tables of the store's objects.
constexpr std::size_t kConfigTable = 0;
constexpr std::size_t kServersTable = 1;

/** Settings of a gateway's host. */
struct GatewayHostSettings
{
  MembershipSettings membership_; ///< self_ with name, addresses and domain.
  GatewaySettings gateway_;
  std::string storeAddress_; ///< "IP:port" of the platform's store.
  std::string configKind_;   ///< Kind of the configuration's object.
  std::string configName_;   ///< Name of the configuration's object.
  std::string serversKind_;  ///< Kind of the servers' entries.
  std::uint64_t seed_ = 0;   ///< Seed of the random numbers.
};

/** Functions of the adapter. */
struct GatewayAdapter
{
  GatewayCodec gateway_;
  StoreCodec store_;
  absl::StatusOr<SharedGatewayConfig> (*decodeConfig_)(
    const std::string& aText);
  absl::StatusOr<BackendEntry> (*decodeServer_)(const std::string& aId,
                                                const std::string& aText);
};

/** Bytes sent to other daemons since the start. */
struct PeerTraffic
{
  std::uint64_t membership_ = 0;
  std::uint64_t tables_ = 0;
  std::uint64_t crossDomain_ = 0; ///< Of both, to other failure domains.
};

/** A daemon that follows this one's tables. */
struct FeedFollower
{
  std::uint64_t number_ = 0; ///< Newest change sent to it.
  TimePoint expiresAt_{};    ///< It has asked again by then, or is gone.
};

/**
 * One gateway's host. Everything runs on one worker's thread, so it has no
 * locks; calls from elsewhere are posted there.
 */
class GatewayHost
{
public:
  GatewayHost(const GatewayHostSettings& aSettings,
              const GatewayAdapter& aAdapter,
              WorkerPool& aPool);

  /** Begins to accept peers and to read the store. */
  absl::Status Start();

  /** Called on each new configuration's limits. */
  void SetLimitsHandler(std::function<void(const GatewayLimits&)> aHandler);

  /** Hands in a request and waits for its answer; suspends the fiber. */
  ProxyAnswer SubmitAndWait(
    ProxyRequest aRequest,
    const std::function<void(std::function<void()>)>& aWatchDisconnect);

  /** Addresses for callers that ask where to connect. */
  EntriesAnswer ListEntries() const;

  /** Whether callers may be sent here. */
  bool IsReady() const;

  /** Tells the others that this daemon is about to stop. */
  void BeginStop();

  std::size_t InFlight() const;
  const GatewayState& State() const { return gateway_; }
  std::uint64_t StoreCalls() const { return store_.Calls(); }

private:
  using Promise = boost::fibers::promise<ProxyAnswer>;

  template<typename Item>
  void HandleEvent(Item&& aItem);
  template<typename Item>
  void HandleMembershipEvent(const Item& aItem);
  void ForwardToMembership(const ConfigAdopted& aAdopted);
  void ApplyDecisions();
  void ApplyDecision(GatewayDecision& aDecision);
  void ApplyMembershipDecisions();
  void SendToPeer(const SendPeer& aSend);
  void LogTraffic();
  void OnFrame(const std::string& aPayload);
  void OnMembers(const std::vector<MemberRecord>& aMembers);
  void OnTable(std::size_t aTable, const TableChange& aChange);
  void AdoptTables(std::size_t aTable);
  void AdoptConfig();
  void AdoptServers();
  void HandleFeedRequest(const PeerMessage& aMessage);
  void HandleFeed(const PeerMessage& aMessage);
  void PushFeed();
  void RequestFeed();
  void UpdateRole();
  bool IsFresh();
  const MemberRecord* FindMember(DaemonId aId) const;
  const MemberRecord* ChooseFeedSource();
  void SendFeed(const MemberRecord& aTo,
                std::uint64_t aIncarnation,
                std::uint64_t aNumber);
  void SendFeedText(const MemberRecord& aTo, const std::string& aText);
  void CheckSuspension();
  void Fulfil(CallerRequestId aId, ProxyAnswer&& aAnswer);
  void Abandon(CallerRequestId aId);
  void ArmTimer();
  void OnTimer();

  GatewayHostSettings settings_;
  GatewayAdapter adapter_;
  WorkerPool& pool_;
  Rng rng_;
  GatewayState gateway_;
  MembershipState membership_;
  BackendLinks backends_;
  PeerLinks peers_;
  StoreReader store_;
  boost::asio::steady_timer timer_;
  TimePoint timerExpiry_ = kNever;
  TimePoint nextMaintenanceAt_{};
  TimePoint nextFeedRequestAt_{};
  std::function<void(const GatewayLimits&)> limitsHandler_;
  std::unordered_map<CallerRequestId, Promise*> pending_;
  std::uint64_t nextRequest_ = 1;
  GatewayDecisions decisions_;
  Decisions membershipDecisions_;
  std::shared_ptr<const std::vector<MemberRecord>> members_;
  std::uint64_t newestKnownVersion_ =
    0; ///< Newest configuration of any member.
  std::map<std::string, std::pair<std::uint64_t, BackendEntry>> entries_;
  std::map<TimePoint, std::uint32_t> daemonCounts_; ///< Recent ones.
  std::map<TimePoint, std::uint32_t>
    entryDaemonCounts_; ///< The same, in service.
  TableFeed feed_;      ///< What this daemon tells of its tables.
  std::map<DaemonId, FeedFollower> followers_;
  std::string encodedFeed_; ///< The latest message.
  /** What it tells: newest change, whole tables or not, changes after this. */
  std::tuple<std::uint64_t, bool, std::uint64_t> encodedKey_;
  DaemonId feedSource_; ///< Whom this daemon follows; zero: nobody.
  std::uint64_t feedSourceIncarnation_ = 0;
  std::uint64_t feedPosition_ = 0;
  TimePoint storeUnavailableAt_{}; ///< A feeder said that it is behind.
  Duration
    storeFallbackJitter_{}; ///< Added to the wait until it asks the store.
  TimePoint lastFeedAt_{};  ///< Time of the feeder's latest word.
  bool isWatcher_ = true;   ///< Reads the store for itself and others.
  TimePoint startedAt_{};
  TimePoint memberJoinedAt_{}; ///< Another daemon has become known.
  std::size_t memberCount_ = 0;
  Duration totalSuspension_{}; ///< Time in which the VM stood still, in total.
  bool stopping_ = false;
  PeerTraffic traffic_;
  TimePoint nextTrafficLogAt_{};
};

} // namespace camphorfield
