// Defines and validates the settings, so that a daemon with bad settings stops
// at start and reports all of their faults at once.
#include "cli/settings.h"

#include "core/name_func.h"
#include "runtime/address_func.h"
#include "table/setting_table.h"

namespace camphorfield {

namespace {

constexpr std::uint32_t kMaxWorkers = 64;
constexpr std::uint64_t kMinEntriesKeepMillis = 100;
constexpr std::uint64_t kMaxEntriesKeepMillis = 600000;
constexpr std::uint64_t kMaxStopLimitSeconds = 3600;
constexpr std::uint32_t kMinTimelineEvents = 16;
constexpr std::uint32_t kMaxTimelineEvents = 1000000;

/** Collects faults, so that all of them are reported together. */
struct FaultList
{
  std::string text_;

  void Require(bool aHolds, SettingFault aFault)
  {
    if (aHolds) {
      return;
    }
    const SettingFaultRow& row =
      kSettingFaultTable[static_cast<std::size_t>(aFault)];
    text_ += "error " + std::to_string(row.number_) + ": " + row.flag_ +
             " must be " + row.text_ + "\n";
  }
};

bool
IsAddress(const std::string& aText)
{
  return ParseAddress(aText).ok();
}

void
SplitSeeds(const std::string& aText, std::vector<std::string>& aSeeds)
{
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    aSeeds.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
}

void
CheckAddresses(const DaemonSettings& aSettings, FaultList& aFaults)
{
  aFaults.Require(IsAddress(aSettings.callerAddress_),
                  SettingFault::CallerAddressInvalid);
  aFaults.Require(IsAddress(aSettings.peerAddress_),
                  SettingFault::PeerAddressInvalid);
  aFaults.Require(IsAddress(aSettings.operatorAddress_),
                  SettingFault::OperatorAddressInvalid);
  aFaults.Require(IsAddress(aSettings.platformAddress_),
                  SettingFault::PlatformAddressInvalid);
  const bool differ = aSettings.callerAddress_ != aSettings.peerAddress_ &&
                      aSettings.callerAddress_ != aSettings.operatorAddress_ &&
                      aSettings.peerAddress_ != aSettings.operatorAddress_;
  aFaults.Require(differ, SettingFault::AddressesEqual);
  for (const std::string& seed : aSettings.seeds_) {
    aFaults.Require(IsAddress(seed), SettingFault::SeedInvalid);
  }
}

void
CheckRanges(const DaemonFlags& aFlags, FaultList& aFaults)
{
  const DaemonSettings& settings = aFlags.settings_;
  aFaults.Require(settings.workers_ >= 1 && settings.workers_ <= kMaxWorkers,
                  SettingFault::WorkersOutOfRange);
  aFaults.Require(ParseLogLevel(aFlags.logLevel_) != LogLevel::End,
                  SettingFault::LogLevelUnknown);
  aFaults.Require(aFlags.entriesKeepMillis_ >= kMinEntriesKeepMillis &&
                    aFlags.entriesKeepMillis_ <= kMaxEntriesKeepMillis,
                  SettingFault::EntriesKeepOutOfRange);
  aFaults.Require(aFlags.stopLimitSeconds_ >= 1 &&
                    aFlags.stopLimitSeconds_ <= kMaxStopLimitSeconds,
                  SettingFault::StopLimitOutOfRange);
  aFaults.Require(settings.timelineEvents_ >= kMinTimelineEvents &&
                    settings.timelineEvents_ <= kMaxTimelineEvents,
                  SettingFault::TimelineEventsOutOfRange);
}

} // namespace

void
AddDaemonFlags(CLI::App& aApp, DaemonFlags& aFlags)
{
  DaemonSettings& settings = aFlags.settings_;
  aFlags.entriesKeepMillis_ = 5000;
  aFlags.stopLimitSeconds_ = 60;
  aFlags.logLevel_ = "info";
  aApp.add_option("--name", settings.name_, "Unique name of this daemon")
    ->envname("CAMPHORFIELD_NAME")
    ->required();
  aApp
    .add_option("--failure-domain",
                settings.failureDomain_,
                "Failure domain that the daemon runs in")
    ->envname("CAMPHORFIELD_FAILURE_DOMAIN")
    ->required();
  aApp
    .add_option("--caller-address",
                settings.callerAddress_,
                "Address to listen on for callers")
    ->envname("CAMPHORFIELD_CALLER_ADDRESS")
    ->required();
  aApp
    .add_option("--peer-address",
                settings.peerAddress_,
                "Address to listen on for other daemons")
    ->envname("CAMPHORFIELD_PEER_ADDRESS")
    ->required();
  aApp
    .add_option("--operator-address",
                settings.operatorAddress_,
                "Address to listen on for operators")
    ->envname("CAMPHORFIELD_OPERATOR_ADDRESS")
    ->required();
  aApp
    .add_option("--platform",
                settings.platformAddress_,
                "Address of the platform's object API")
    ->envname("CAMPHORFIELD_PLATFORM")
    ->required();
  aApp
    .add_option("--seeds",
                aFlags.seeds_,
                "Peer addresses to join through, separated by commas")
    ->envname("CAMPHORFIELD_SEEDS");
  aApp
    .add_option("--store-prefix",
                settings.storePrefix_,
                "Prefix of this system's keys in the platform")
    ->envname("CAMPHORFIELD_STORE_PREFIX")
    ->capture_default_str();
  aApp.add_option("--workers", settings.workers_, "Number of worker threads")
    ->envname("CAMPHORFIELD_WORKERS")
    ->capture_default_str();
  aApp
    .add_option("--timeline-events",
                settings.timelineEvents_,
                "Number of timeline events kept")
    ->envname("CAMPHORFIELD_TIMELINE_EVENTS")
    ->capture_default_str();
  aApp
    .add_option("--entries-keep-ms",
                aFlags.entriesKeepMillis_,
                "How long callers keep an answer to 'entries'")
    ->envname("CAMPHORFIELD_ENTRIES_KEEP_MS")
    ->capture_default_str();
  aApp
    .add_option("--stop-limit-s",
                aFlags.stopLimitSeconds_,
                "Time limit of a graceful shutdown")
    ->envname("CAMPHORFIELD_STOP_LIMIT_S")
    ->capture_default_str();
  aApp.add_option("--log-level", aFlags.logLevel_, "Lowest level logged")
    ->envname("CAMPHORFIELD_LOG_LEVEL")
    ->capture_default_str();
}

void
AddOperatorFlags(CLI::App& aApp, OperatorFlags& aFlags)
{
  aFlags.timeoutMillis_ = 30000;
  aApp
    .add_option("--operator", aFlags.address_, "Operator address of a daemon")
    ->envname("CAMPHORFIELD_OPERATOR")
    ->required();
  aApp
    .add_option("--timeout-ms",
                aFlags.timeoutMillis_,
                "Time limit for the daemon's answer")
    ->envname("CAMPHORFIELD_TIMEOUT_MS")
    ->capture_default_str();
}

Duration
TimeoutOf(const OperatorFlags& aFlags)
{
  return std::chrono::milliseconds(aFlags.timeoutMillis_);
}

absl::Status
CheckDaemonFlags(DaemonFlags& aFlags)
{
  DaemonSettings& settings = aFlags.settings_;
  SplitSeeds(aFlags.seeds_, settings.seeds_);
  FaultList faults;
  faults.Require(IsValidName(settings.name_), SettingFault::NameInvalid);
  faults.Require(IsValidName(settings.failureDomain_),
                 SettingFault::FailureDomainInvalid);
  faults.Require(IsValidName(settings.storePrefix_),
                 SettingFault::StorePrefixInvalid);
  CheckAddresses(settings, faults);
  CheckRanges(aFlags, faults);
  if (!faults.text_.empty()) {
    return absl::InvalidArgumentError(faults.text_);
  }
  settings.entriesKeepFor_ =
    std::chrono::milliseconds(aFlags.entriesKeepMillis_);
  settings.stopLimit_ = std::chrono::seconds(aFlags.stopLimitSeconds_);
  return absl::OkStatus();
}

} // namespace camphorfield
