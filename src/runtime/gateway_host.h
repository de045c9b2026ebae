/** Feeds events to a gateway's decision core and executes its decisions. */
#pragma once

#include "discovery/feed_follower.h"
#include "discovery/table_feed.h"
#include "discovery/table_sync.h"
#include "gateway/fleet/config_lag.h"
#include "gateway/fleet/fleet_role.h"
#include "gateway/gateway_base.h"
#include "machine/decision_type.h"
#include "membership/membership_base.h"
#include "runtime/backend_link.h"
#include "runtime/evidence_store.h"
#include "runtime/memory_account.h"
#include "runtime/peer_link.h"
#include "runtime/store_reader.h"
#include "runtime/worker.h"

#include <absl/status/statusor.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace camphorfield {

// Indices of the tables that are read from the store.
constexpr std::size_t kConfigTable = 0;
constexpr std::size_t kServersTable = 1;
constexpr std::size_t kEvacuationsTable = 2; ///< Only where they are enabled.

/** Settings of a GatewayHost. */
struct GatewayHostSettings
{
  MembershipSettings membership_; ///< self_: name, addresses, failure domain.
  GatewaySettings gateway_;
  std::string storeAddress_; ///< "IP:port" of the platform's store.
  std::string configKind_;   ///< Kind of the configuration's object.
  std::string configName_;   ///< Name of the configuration's object.
  std::string serversKind_;  ///< Kind of the servers' entries.
  std::uint64_t seed_ = 0;   ///< Seed of the random number generator.
  std::uint64_t heldBytes_ = 256ULL << 20U; ///< Limit of the memory account.
  std::uint32_t maxPeerConnections_ = 0;    ///< Accepted ones; 0: no bound.
  bool storesEvidence_ = false; ///< Keep crash evidence in the store.
  /** Kind of the objects named after evacuated domains; empty: not read. */
  std::string evacuationsKind_;
  /** An evacuation is in force within this time where it can be known. */
  Duration evacuateWithin_{};
};

/** Conversions that the platform's adapter provides. */
struct GatewayAdapter
{
  GatewayCodec gateway_;
  StoreCodec store_;
  absl::StatusOr<SharedGatewayConfig> (*decodeConfig_)(
    const std::string& aText);
  absl::StatusOr<BackendEntry> (*decodeServer_)(const std::string& aId,
                                                const std::string& aText);
  EvidenceCodec evidence_;
};

/** Bytes sent to other daemons since the process started. */
struct PeerTraffic
{
  std::uint64_t membership_ = 0;
  std::uint64_t tables_ = 0;
  std::uint64_t crossDomain_ = 0; ///< Share of both to other failure domains.
};

/** Counters of the spread of tables since the process started. */
struct TableSyncStats
{
  std::uint64_t feedGaps_ = 0;       ///< Messages after ones that were lost.
  std::uint64_t wholeTables_ = 0;    ///< Whole tables taken from a peer.
  std::uint64_t stalledWatches_ = 0; ///< Watches that a peer was ahead of.
  std::uint64_t configLags_ = 0;     ///< Times that the configuration lagged.
};

/** Daemon that receives this daemon's table changes. */
struct FeedFollower
{
  std::uint64_t number_ = 0; ///< Number of the newest change sent to it.
  bool needsWhole_ = false;  ///< It was sent nothing yet.
  TimePoint expiresAt_{};    ///< Dropped unless it renews by then.
};

/**
 * Runs one gateway: its core, membership, store reader and connections. All of
 * it runs on worker 0's thread, so there are no locks.
 */
class GatewayHost
{
public:
  GatewayHost(const GatewayHostSettings& aSettings,
              const GatewayAdapter& aAdapter,
              WorkerPool& aPool);

  /**
   * Starts listening for peers and reading the store.
   * @return An error when the peer address can't be bound.
   */
  absl::Status Start();

  /** Sets the function that gets the limits of each new configuration. */
  void SetLimitsHandler(std::function<void(const GatewayLimits&)> aHandler);

  /**
   * Submits a request and suspends the fiber until its answer arrives.
   * @param aWatchDisconnect Called with a function to call if the caller
   * disconnects before the answer.
   */
  ProxyAnswer SubmitAndWait(
    ProxyRequest aRequest,
    const std::function<void(std::function<void()>)>& aWatchDisconnect);

  /** Addresses of the entry daemons, for the directory's answer. */
  EntriesAnswer ListEntries() const;

  /** Whether this daemon can serve callers: it has a configuration and servers
   * and isn't stopping. */
  bool IsReady() const;

  /** Whether evacuations are followed and their table has been read. */
  bool KnowsEvacuations() const { return evacuationsKnown_; }

  /** Stops being ready, announces the shutdown to the other daemons and answers
   * all requests in time. */
  void BeginStop(const PlannedStop& aStop);

  /** Answers what is left and rejects all further requests. */
  void EndStop();

  std::size_t InFlight() const;
  /** What connections of this process hold for others. */
  MemoryAccount& Memory() { return memory_; }
  const MemoryAccount& Memory() const { return memory_; }
  const GatewayState& State() const { return gateway_; }
  std::uint64_t StoreCalls() const { return store_.Calls(); }
  std::uint64_t UnreadableStoreValues() const
  {
    return store_.UnreadableValues();
  }
  const TableSyncStats& SyncStats() const { return syncStats_; }
  const EvidenceLog& Evidence() const { return evidence_.Log(); }

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
  void SpreadEvidence(const SuspectFound& aFound);
  void AdoptEvidence(const QuarantineRumor& aRumor);
  void AdoptStoredEvidence(const EvidenceItems& aItems);
  void LogQuarantine(std::uint64_t aFingerprint, const char* aReason);
  bool IsEvidenceKeeper() const;
  void SendToPeer(const SendPeer& aSend);
  void LogTraffic();
  void OnFrame(const std::string& aPayload);
  void OnMembers(const std::vector<MemberRecord>& aMembers);
  void OnTable(std::size_t aTable, const TableChange& aChange);
  void AdoptTables(const std::vector<std::size_t>& aTables);
  void AdoptConfig();
  void AdoptServers();
  void AdoptEvacuations();
  /** Those to pass on; none once the own table has been read. */
  std::optional<std::set<std::string>> StatedEvacuations();
  void TakePeerEvacuations(const FeedMessage& aMessage);
  bool MayUseServers();
  void EndServerWait();
  std::vector<TableSync*> Tables();
  std::vector<const TableSync*> TablesToSend();
  void HandleFeedRequest(const PeerMessage& aMessage);
  void HandleFeed(const PeerMessage& aMessage);
  void PushFeed();
  void RequestFeed();
  void UpdateRole();
  void TrackConfigLag();
  bool IsFresh();
  Duration TableAge();
  void ReportTableAge();
  void UpdateCapView();
  void SendCapMessage(const CapSend& aSend);
  const MemberRecord* FindMember(DaemonId aId) const;
  void SendFeed(const MemberRecord& aTo,
                std::uint64_t aIncarnation,
                std::uint64_t aNumber,
                Duration aAge);
  void SendFeedText(const MemberRecord& aTo, const std::string& aText);
  void SendStoreUnavailable(const MemberRecord& aTo);
  void DropFollowersIfStale();
  bool IsStoreReadByWatchers() const;
  void CheckSuspension();
  void Fulfil(CallerRequestId aId, ProxyAnswer&& aAnswer);
  void Abandon(CallerRequestId aId);
  void ArmTimer();
  void OnTimer();

  GatewayHostSettings settings_;
  GatewayAdapter adapter_;
  WorkerPool& pool_;
  MemoryAccount memory_;
  Rng rng_;
  GatewayState gateway_;
  MemoryHold answersHold_; ///< Of answers that gateway_ keeps.
  MembershipState membership_;
  BackendLinks backends_;
  PeerLinks peers_;
  StoreReader store_;
  EvidenceStore evidence_;
  boost::asio::steady_timer timer_;
  TimePoint timerExpiry_ = kNever;
  TimePoint nextMaintenanceAt_{};
  TimePoint feedRequestedAt_{};
  TimePoint nextFeedRequestAt_{};
  std::function<void(const GatewayLimits&)> limitsHandler_;
  std::unordered_map<CallerRequestId, Promise*> pending_;
  std::uint64_t nextRequest_ = 1;
  GatewayDecisions decisions_;
  Decisions membershipDecisions_;
  std::shared_ptr<const std::vector<MemberRecord>> members_;
  std::uint64_t newestKnownVersion_ = 0; ///< Configuration of any member.
  /** Decoded servers with the hash of their text, by name; empty id: malformed.
   */
  std::map<std::string, std::pair<std::uint64_t, BackendEntry>> entries_;
  ConfigLag configLag_;
  Duration configLagTime_{}; ///< See UpdateConfigLag.
  /** Evacuations that peers stated while the own table was not complete. */
  std::optional<std::set<std::string>> peerEvacuations_;
  bool evacuationsKnown_ = false; ///< The own table has been read.
  /** A peer stated its table, or the wait for it is over. */
  bool needsNoEvacuations_ = false;
  /** Since when servers are known but not used, as evacuations are unknown. */
  TimePoint serversWithheldSince_ = kNever;
  TableSyncStats syncStats_;
  FleetRole role_;
  TableFeed feed_; ///< Changes sent to followers.
  std::map<DaemonId, FeedFollower> followers_;
  std::string encodedFeed_; ///< Latest message, cached.
  /** Key of encodedFeed_: newest change, whether it holds whole tables, after
   * which change it begins, and the tables' age. */
  std::tuple<std::uint64_t, bool, std::uint64_t, Duration> encodedKey_;
  FollowedFeed followed_;             ///< Feed that this daemon follows.
  TimePoint storeUnavailableAt_{};    ///< Latest report of it by a source.
  TimePoint storeUnavailableSince_{}; ///< First of these reports.
  Duration totalSuspension_{};        ///< Total time that the VM was suspended.
  bool stopping_ = false;
  PeerTraffic traffic_;
  TimePoint nextTrafficLogAt_{};
};

} // namespace camphorfield
