/** Table of configuration faults; listed in docs/CONFIG.md. */
#pragma once

#include "object/fault_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

/** Row of the table of faults. */
struct ConfigFaultRow
{
  ConfigFaultCode code_; ///< Fault code.
  std::uint16_t number_; ///< Number in answers to operators; never reused.
  const char* name_;     ///< Name in answers to operators.
  const char* text_;     ///< Explanation for operators.
};

// clang-format off
constexpr std::array<ConfigFaultRow, static_cast<std::size_t>(ConfigFaultCode::End)>
  kConfigFaultTable{ {
  { ConfigFaultCode::NotJson,               3100, "NOT_JSON",                "The document is not JSON." },
  { ConfigFaultCode::DocumentTooLarge,      3101, "DOCUMENT_TOO_LARGE",      "The document exceeds the size limit." },
  { ConfigFaultCode::TooDeep,               3102, "TOO_DEEP",                "The document is nested too deeply." },
  { ConfigFaultCode::NotUtf8,               3103, "NOT_UTF8",                "A text is not valid UTF-8." },
  { ConfigFaultCode::DuplicateField,        3104, "DUPLICATE_FIELD",         "A field stands twice in the same JSON object." },
  { ConfigFaultCode::NotAnObject,           3105, "NOT_AN_OBJECT",           "A JSON object is expected here." },
  { ConfigFaultCode::UnknownField,          3106, "UNKNOWN_FIELD",           "No field of this name exists." },
  { ConfigFaultCode::MissingField,          3107, "MISSING_FIELD",           "A required field is absent." },
  { ConfigFaultCode::WrongType,             3108, "WRONG_TYPE",              "The value is of another JSON type." },
  { ConfigFaultCode::WrongUnit,             3109, "WRONG_UNIT",              "Durations are numbers of milliseconds in fields ending in _ms." },
  { ConfigFaultCode::NotWhole,              3110, "NOT_WHOLE",               "A whole number is expected." },
  { ConfigFaultCode::NumberRange,           3111, "NUMBER_RANGE",            "The number is outside the range of the field." },
  { ConfigFaultCode::UnknownKind,           3112, "UNKNOWN_KIND",            "No kind of object has this name." },
  { ConfigFaultCode::UnknownValue,          3113, "UNKNOWN_VALUE",           "The field does not take this value." },
  { ConfigFaultCode::TextTooLong,           3114, "TEXT_TOO_LONG",           "The text is too long." },
  { ConfigFaultCode::TooManyEntries,        3115, "TOO_MANY_ENTRIES",        "The list has too many entries." },
  { ConfigFaultCode::ObjectTooLarge,        3116, "OBJECT_TOO_LARGE",        "The encoded object exceeds the size limit of one object." },
  { ConfigFaultCode::TooManyFaults,         3117, "TOO_MANY_FAULTS",         "Further faults are not listed." },
  { ConfigFaultCode::BasedOnAhead,          3120, "BASED_ON_AHEAD",          "The change is based on a generation that does not exist." },
  { ConfigFaultCode::EmptyChange,           3121, "EMPTY_CHANGE",            "The change puts and deletes nothing." },
  { ConfigFaultCode::PutTwice,              3122, "PUT_TWICE",               "The change puts the same object twice." },
  { ConfigFaultCode::DeleteTwice,           3123, "DELETE_TWICE",            "The change deletes the same object twice." },
  { ConfigFaultCode::PutAndDelete,          3124, "PUT_AND_DELETE",          "The change puts and deletes the same object." },
  { ConfigFaultCode::DeleteAbsent,          3125, "DELETE_ABSENT",           "The object to delete does not exist." },
  { ConfigFaultCode::ChangeIdMalformed,     3126, "CHANGE_ID_MALFORMED",     "A change needs an id of 1 to 128 letters, digits, dots, dashes or underscores." },
  { ConfigFaultCode::ChangeIdReused,        3127, "CHANGE_ID_REUSED",        "The change id belongs to another change." },
  { ConfigFaultCode::BadName,               3130, "BAD_NAME",                "A name has 1 to 64 lower-case letters, digits, dots, dashes or underscores and starts with a letter or digit." },
  { ConfigFaultCode::BadAddress,            3131, "BAD_ADDRESS",             "An address is an IPv4 number or bracketed IPv6 number, a colon and a port." },
  { ConfigFaultCode::AddressNotUsable,      3132, "ADDRESS_NOT_USABLE",      "No server can be reached at this address." },
  { ConfigFaultCode::BadFailureDomain,      3133, "BAD_FAILURE_DOMAIN",      "The failure domain is not a valid name." },
  { ConfigFaultCode::IndexEmpty,            3140, "INDEX_EMPTY",             "The index has no snapshot version." },
  { ConfigFaultCode::VersionZero,           3141, "VERSION_ZERO",            "Snapshot versions start at 1." },
  { ConfigFaultCode::VersionTwice,          3142, "VERSION_TWICE",           "The snapshot version stands twice in the index." },
  { ConfigFaultCode::VersionsNotRising,     3143, "VERSIONS_NOT_RISING",     "Snapshot versions must rise from one entry to the next." },
  { ConfigFaultCode::ShardMapEmpty,         3144, "SHARD_MAP_EMPTY",         "The snapshot version has no shard." },
  { ConfigFaultCode::ShardTwice,            3145, "SHARD_TWICE",             "The shard stands twice in the shard map." },
  { ConfigFaultCode::ShardServiceUnknown,   3146, "SHARD_SERVICE_UNKNOWN",   "The shard refers to a service that does not exist." },
  { ConfigFaultCode::ShardUnreachable,      3147, "SHARD_UNREACHABLE",       "All servers of the shard's service are draining." },
  { ConfigFaultCode::ServiceEmpty,          3150, "SERVICE_EMPTY",           "The service has no server." },
  { ConfigFaultCode::ServerTwice,           3151, "SERVER_TWICE",            "The server stands twice in the service." },
  { ConfigFaultCode::ServerElsewhere,       3152, "SERVER_ELSEWHERE",        "A server of this name belongs to another service." },
  { ConfigFaultCode::AddressTwice,          3153, "ADDRESS_TWICE",           "Two servers share one address." },
  { ConfigFaultCode::SlotsRange,            3154, "SLOTS_RANGE",             "A server has 1 to 4096 slots." },
  { ConfigFaultCode::ConnectionsRange,      3155, "CONNECTIONS_RANGE",       "A server accepts 1 to 65535 connections." },
  { ConfigFaultCode::SlotsOverConnections,  3156, "SLOTS_OVER_CONNECTIONS",  "The server has more slots than connections to use them." },
  { ConfigFaultCode::QuotasOverConnections,   3157, "LOTS_OVER_CONNECTIONS",   "The server's connections are fewer than the daemons that may hold one." },
  { ConfigFaultCode::ConnectCostRange,      3158, "CONNECT_COST_RANGE",      "The cost of a connection is 0 to 10 seconds." },
  { ConfigFaultCode::IndexUnknown,          3170, "INDEX_UNKNOWN",           "The route refers to an index that does not exist." },
  { ConfigFaultCode::ServiceUnknown,        3171, "SERVICE_UNKNOWN",         "The route refers to a service that does not exist." },
  { ConfigFaultCode::LimitsUnknown,         3172, "LIMITS_UNKNOWN",          "The route refers to limits that do not exist." },
  { ConfigFaultCode::QueryOnService,        3173, "QUERY_ON_SERVICE",        "A query route names an index and no service." },
  { ConfigFaultCode::OrderOnIndex,          3174, "ORDER_ON_INDEX",          "An order route names a service and no index." },
  { ConfigFaultCode::IndexMissing,          3175, "INDEX_MISSING",           "A query route needs an index." },
  { ConfigFaultCode::ServiceMissing,        3176, "SERVICE_MISSING",         "An order route needs a service." },
  { ConfigFaultCode::LimitsMissing,         3177, "LIMITS_MISSING",          "A route needs limits." },
  { ConfigFaultCode::DeadlineRange,         3178, "DEADLINE_RANGE",          "A deadline is 1 millisecond to 10 minutes." },
  { ConfigFaultCode::SoftAfterDeadline,     3179, "SOFT_AFTER_DEADLINE",     "The deadline is below the soft answer time." },
  { ConfigFaultCode::SoftOnOrder,           3180, "SOFT_ON_ORDER",           "An order has no soft answer time." },
  { ConfigFaultCode::CoverageRange,         3181, "COVERAGE_RANGE",          "The minimum coverage is 0 to 1." },
  { ConfigFaultCode::CoverageOnOrder,       3182, "COVERAGE_ON_ORDER",       "An order has no coverage." },
  { ConfigFaultCode::CoverageUnreachable,   3183, "COVERAGE_UNREACHABLE",    "The minimum coverage can't be met with the servers in service." },
  { ConfigFaultCode::DeadlineUnderConnect,  3184, "DEADLINE_UNDER_CONNECT",  "The deadline does not exceed the cost of a new connection." },
  { ConfigFaultCode::OrderUnreachable,      3185, "ORDER_UNREACHABLE",       "All servers of the route's service are draining." },
  { ConfigFaultCode::HedgeBudgetRange,      3190, "HEDGE_BUDGET_RANGE",      "The hedge budget is 0 to 1." },
  { ConfigFaultCode::RetryBudgetRange,      3191, "RETRY_BUDGET_RANGE",      "The retry budget is 0 to 1." },
  { ConfigFaultCode::BudgetSum,             3192, "BUDGET_SUM",              "Hedge and retry budget together exceed 1." },
  { ConfigFaultCode::InFlightRange,         3193, "IN_FLIGHT_RANGE",         "Requests in flight are 1 to 1000000." },
  { ConfigFaultCode::CallerShareRange,      3194, "CALLER_SHARE_RANGE",      "The share of one caller is above 0 and at most 1." },
  { ConfigFaultCode::CallerShareBelowOne,   3195, "CALLER_SHARE_BELOW_ONE",  "The share of one caller is less than one request." },
  { ConfigFaultCode::SeveralFleets,         3200, "SEVERAL_FLEETS",          "Only one fleet may exist." },
  { ConfigFaultCode::MaxDaemonsRange,       3201, "MAX_DAEMONS_RANGE",       "A fleet has 1 to 10000 daemons." },
  { ConfigFaultCode::HomesOverDaemons,      3202, "HOMES_OVER_DAEMONS",      "A server has more home daemons than the fleet has daemons." },
  { ConfigFaultCode::DeleteReferenced,      3210, "DELETE_REFERENCED",       "The object is still referred to." },
  { ConfigFaultCode::VersionsAllDropped,    3211, "VERSIONS_ALL_DROPPED",    "Queries still run on the versions in force; keep one of them." },
  { ConfigFaultCode::ServersAllReplaced,    3212, "SERVERS_ALL_REPLACED",    "Keep a server of those in force, or the service loses all at once." },
  { ConfigFaultCode::ShardMapChanged,       3213, "SHARD_MAP_CHANGED",       "The shard map of a version is fixed; make a new version." },
  { ConfigFaultCode::VersionNotNew,         3214, "VERSION_NOT_NEW",         "A version added must be above all versions in force." },
  { ConfigFaultCode::RouteModeChanged,      3215, "ROUTE_MODE_CHANGED",      "The mode of a route is fixed; make a new route." },
  { ConfigFaultCode::ServerMoved,           3216, "SERVER_MOVED",            "The server belongs to another service in force; remove it there first." },
} };
// clang-format on

} // namespace camphorfield
