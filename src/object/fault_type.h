/** Faults reported by the JSON decoder and the configuration check. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/**
 * Kinds of faults. The rows with number, name and text are in
 * table/config_fault_table.h.
 */
enum class ConfigFaultCode : std::uint8_t
{
  NotJson,
  DocumentTooLarge,
  TooDeep,
  NotUtf8,
  DuplicateField,
  NotAnObject,
  UnknownField,
  MissingField,
  WrongType,
  WrongUnit,
  NotWhole,
  NumberRange,
  UnknownKind,
  UnknownValue,
  TextTooLong,
  TooManyEntries,
  ObjectTooLarge,
  TooManyFaults,
  BasedOnAhead,
  EmptyChange,
  PutTwice,
  DeleteTwice,
  PutAndDelete,
  DeleteAbsent,
  ChangeIdMalformed,
  ChangeIdReused,
  BadName,
  BadAddress,
  AddressNotUsable,
  BadFailureDomain,
  IndexEmpty,
  VersionZero,
  VersionTwice,
  VersionsNotRising,
  ShardMapEmpty,
  ShardTwice,
  ShardServiceUnknown,
  ShardUnreachable,
  ServiceEmpty,
  ServerTwice,
  ServerElsewhere,
  AddressTwice,
  SlotsRange,
  ConnectionsRange,
  SlotsOverConnections,
  QuotasOverConnections,
  ConnectCostRange,
  IndexUnknown,
  ServiceUnknown,
  LimitsUnknown,
  QueryOnService,
  OrderOnIndex,
  IndexMissing,
  ServiceMissing,
  LimitsMissing,
  DeadlineRange,
  SoftAfterDeadline,
  SoftOnOrder,
  CoverageRange,
  CoverageOnOrder,
  CoverageUnreachable,
  DeadlineUnderConnect,
  OrderUnreachable,
  HedgeBudgetRange,
  RetryBudgetRange,
  BudgetSum,
  InFlightRange,
  CallerShareRange,
  CallerShareBelowOne,
  SeveralFleets,
  MaxDaemonsRange,
  HomesOverDaemons,
  DeleteReferenced,
  VersionsAllDropped,
  ServersAllReplaced,
  ShardMapChanged,
  VersionNotNew,
  RouteModeChanged,
  ServerMoved,
  End ///< Number of codes.
};

/** One fault. */
struct ConfigFault
{
  ConfigFaultCode code_ = ConfigFaultCode::End;
  std::string object_; ///< "kind/name", or "change" for the document.
  std::string field_;  ///< Path of the field, such as "servers[1].address".
  std::string reason_; ///< Detail, such as the value found.
};

using ConfigFaults = std::vector<ConfigFault>;

} // namespace camphorfield
