/** Findings of the check of a configuration before it is published. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/** How serious a finding is. */
enum class Severity : std::uint8_t
{
  Error,   ///< Some requests can't be served as the configuration says.
  Warning, ///< Probably a mistake.
  End      ///< Number of severities.
};

/** What is wrong with an entry of a configuration. */
enum class FindingCode : std::uint8_t
{
  Unreadable,
  VersionNotHigher,
  NoRoutes,
  RouteWithoutTarget,
  PrefixNeverMatches,
  RouteShadowed,
  UnknownService,
  UnusedService,
  RepeatedShard,
  NoWeight,
  ShareWithoutWeight,
  CoverageImpossible,
  NoRecords,
  TimeoutBelowObjective,
  NoAttempts,
  AttemptsUnused,
  NoConnections,
  FewConnections,
  KeyOfSeveral,
  KeyMissing,
  PublicWithoutKeys,
  AllRoutesPublic,
  BurstTooSmall,
  BurstAboveWindow,
  CapWithoutRate,
  LimitIsZero,
  IdleBelowHeader,
  CapsAboveConnections,
  WarmupBelowLoad,
  End ///< Number of codes.
};

/** One finding. */
struct ConfigFinding
{
  FindingCode code_ = FindingCode::Unreadable;
  std::string subject_; ///< Entry, such as "route r1"; empty: the whole.
  std::string detail_;  ///< Values found and what is allowed.
};

/** Kind of a difference between two configurations. */
enum class ChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
  End ///< Number of kinds.
};

/** One difference between two configurations. */
struct ConfigDifference
{
  ChangeKind kind_ = ChangeKind::Changed;
  std::string subject_; ///< As in ConfigFinding.
  std::string detail_;  ///< Old and new values, and who is affected.
  /** Why it should be rolled out in two versions; empty: one suffices. */
  std::string twoSteps_;
};

} // namespace camphorfield
