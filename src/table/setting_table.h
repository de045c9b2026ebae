/** Table of the faults of daemon settings. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

/** Faults of settings. */
enum class SettingFault : std::uint8_t
{
  NameInvalid,
  FailureDomainInvalid,
  CallerAddressInvalid,
  PeerAddressInvalid,
  OperatorAddressInvalid,
  PlatformAddressInvalid,
  SeedInvalid,
  WorkersOutOfRange,
  LogLevelUnknown,
  EntriesKeepOutOfRange,
  StopLimitOutOfRange,
  TimelineEventsOutOfRange,
  StorePrefixInvalid,
  AddressesEqual,
  End ///< Number of faults.
};

/** Row of the table of setting faults, in the order of SettingFault. */
struct SettingFaultRow
{
  std::uint16_t number_; ///< Number in messages; never reused.
  const char* flag_;     ///< Flag concerned.
  const char* text_;     ///< Allowed values.
};

// clang-format off
constexpr std::array<SettingFaultRow, static_cast<std::size_t>(SettingFault::End)>
  kSettingFaultTable{ {
  { 6000, "--name",                "1 to 64 letters, digits, '.', '_' or '-'" },
  { 6001, "--failure-domain",      "1 to 64 letters, digits, '.', '_' or '-'" },
  { 6002, "--caller-address",      "an address IP:port" },
  { 6003, "--peer-address",        "an address IP:port" },
  { 6004, "--operator-address",    "an address IP:port" },
  { 6005, "--platform",            "an address IP:port" },
  { 6006, "--seeds",               "addresses IP:port joined by commas" },
  { 6007, "--workers",             "1 to 64" },
  { 6008, "--log-level",           "debug, info, warning or error" },
  { 6009, "--entries-keep-ms",     "100 to 600000" },
  { 6010, "--stop-limit-s",        "1 to 3600" },
  { 6011, "--timeline-events",     "16 to 1000000" },
  { 6012, "--store-prefix",        "1 to 64 letters, digits, '.', '_' or '-'" },
  { 6013, "--caller-address, --peer-address, --operator-address", "three different addresses" },
} };
// clang-format on

} // namespace camphorfield
