/** Table of the findings of a configuration check. */
#pragma once

#include "preflight/finding_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

/** Row of the table of findings. */
struct ConfigFindingRow
{
  FindingCode code_;
  std::uint16_t number_; ///< Never reused.
  const char* name_;
  Severity severity_;
  const char* text_; ///< Explanation for operators.
};

// clang-format off
constexpr std::array<ConfigFindingRow, static_cast<std::size_t>(FindingCode::End)>
  kConfigFindingTable{ {
  { FindingCode::Unreadable,            7000, "UNREADABLE",              Severity::Error,   "The document or an entry of it can't be read." },
  { FindingCode::VersionNotHigher,      7001, "VERSION_NOT_HIGHER",      Severity::Error,   "The version must be higher than the one in force." },
  { FindingCode::NoRoutes,              7002, "NO_ROUTES",               Severity::Warning, "There is no route, so every request is answered 404." },
  { FindingCode::RouteWithoutTarget,    7003, "ROUTE_WITHOUT_TARGET",    Severity::Error,   "The route names no service." },
  { FindingCode::PrefixNeverMatches,    7004, "PREFIX_NEVER_MATCHES",    Severity::Error,   "No path begins with this prefix: it must begin and end with a slash and have no space, '?' or '#'." },
  { FindingCode::RouteShadowed,         7005, "ROUTE_SHADOWED",          Severity::Error,   "An earlier route has the same host and prefix, so this one never matches." },
  { FindingCode::UnknownService,        7006, "UNKNOWN_SERVICE",         Severity::Error,   "The route names a service that is not configured." },
  { FindingCode::UnusedService,         7007, "UNUSED_SERVICE",          Severity::Warning, "No route names the service." },
  { FindingCode::RepeatedShard,         7008, "REPEATED_SHARD",          Severity::Error,   "A query names the same shard twice, and an answer may hold only one part of each." },
  { FindingCode::NoWeight,              7009, "NO_WEIGHT",               Severity::Error,   "All weights of the route are zero." },
  { FindingCode::ShareWithoutWeight,    7010, "SHARE_WITHOUT_WEIGHT",    Severity::Warning, "A share of weight zero gets no requests." },
  { FindingCode::CoverageImpossible,    7011, "COVERAGE_IMPOSSIBLE",     Severity::Error,   "The least coverage must be from 0 to 1; the shards can't give more." },
  { FindingCode::NoRecords,             7012, "NO_RECORDS",              Severity::Warning, "A query for no records is answered with an empty body." },
  { FindingCode::TimeoutBelowObjective, 7013, "TIMEOUT_BELOW_OBJECTIVE", Severity::Error,   "The time limit ends before the latency objective." },
  { FindingCode::NoAttempts,            7014, "NO_ATTEMPTS",             Severity::Error,   "A route without attempts can't be served." },
  { FindingCode::AttemptsUnused,        7015, "ATTEMPTS_UNUSED",         Severity::Warning, "The retry budget never allows so many attempts." },
  { FindingCode::NoConnections,         7016, "NO_CONNECTIONS",          Severity::Error,   "A server that accepts no connections can't be used." },
  { FindingCode::FewConnections,        7017, "FEW_CONNECTIONS",         Severity::Warning, "So few connections let one or two daemons serve callers." },
  { FindingCode::KeyOfSeveral,          7018, "KEY_OF_SEVERAL",          Severity::Error,   "Another organisation holds the same key, so this one never gets it." },
  { FindingCode::KeyMissing,            7019, "KEY_MISSING",             Severity::Warning, "An organisation without a key has no requests." },
  { FindingCode::PublicWithoutKeys,     7020, "PUBLIC_WITHOUT_KEYS",     Severity::Warning, "No organisations are configured, so every route is public." },
  { FindingCode::AllRoutesPublic,       7021, "ALL_ROUTES_PUBLIC",       Severity::Warning, "Organisations are configured, but every route is public." },
  { FindingCode::BurstTooSmall,         7022, "BURST_TOO_SMALL",         Severity::Warning, "A burst below one request rejects requests below the rate." },
  { FindingCode::BurstAboveWindow,      7023, "BURST_ABOVE_WINDOW",      Severity::Warning, "The burst is larger than what the rate allows in a whole window, so the rate hardly limits." },
  { FindingCode::CapWithoutRate,        7024, "CAP_WITHOUT_RATE",        Severity::Warning, "A burst without a rate limits nothing." },
  { FindingCode::LimitIsZero,           7025, "LIMIT_IS_ZERO",           Severity::Error,   "A limit of zero rejects every request." },
  { FindingCode::IdleBelowHeader,       7026, "IDLE_BELOW_HEADER",       Severity::Warning, "Idle connections are closed sooner than slow heads." },
  { FindingCode::CapsAboveConnections,  7027, "CAPS_ABOVE_CONNECTIONS",  Severity::Warning, "If requests take their objective, the connections of the servers can't carry the sum of the caps: callers below their cap are rejected." },
  { FindingCode::WarmupBelowLoad,       7028, "WARMUP_BELOW_LOAD",       Severity::Warning, "While all servers of the service are cold, they accept less than the load that the caps allow: callers below their cap are rejected." },
} };
// clang-format on

constexpr std::array<const char*, static_cast<std::size_t>(Severity::End)>
  kSeverityNames{ "error", "warning" };

constexpr std::array<const char*, static_cast<std::size_t>(ChangeKind::End)>
  kChangeKindNames{ "added", "removed", "changed" };

} // namespace camphorfield
