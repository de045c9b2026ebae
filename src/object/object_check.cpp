// Checks changes and sets as a whole and reports all faults at once, before an
// invalid configuration can reach a daemon.
#include "object/object_check.h"

#include "object/check_internal.h"
#include "object/object_diff.h"
#include "object/object_json.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace camphorfield {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr unsigned kMaxPort = 65535;
constexpr unsigned char kFirstMulticast = 224; ///< First octet, IPv4.

bool
IsNameStart(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9');
}

bool
IsNamePart(char aChar)
{
  return IsNameStart(aChar) || aChar == '.' || aChar == '-' || aChar == '_';
}

bool
IsValidPort(std::string_view aText)
{
  unsigned port = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, port);
  return !aText.empty() && result.ec == std::errc() && result.ptr == end &&
         port <= kMaxPort;
}

/** Check the parts of a change that don't depend on the resulting set. */
void
CheckDocument(const ConfigSet& aBefore,
              Generation aGeneration,
              const Change& aChange,
              ConfigFaults& aFaults)
{
  if (aChange.puts_.empty() && aChange.deletes_.empty()) {
    AddFault(aFaults, ConfigFaultCode::EmptyChange, "change", "", "");
  }
  if (aChange.basedOn_ > aGeneration) {
    const std::string reason = std::to_string(aChange.basedOn_.value_) +
                               ", in force is " +
                               std::to_string(aGeneration.value_);
    AddFault(
      aFaults, ConfigFaultCode::BasedOnAhead, "change", "based_on", reason);
  }
  std::vector<ObjectKey> puts;
  for (const ConfigObject& object : aChange.puts_) {
    puts.push_back(KeyOf(object));
  }
  std::vector<ObjectKey> deletes = aChange.deletes_;
  std::sort(puts.begin(), puts.end());
  std::sort(deletes.begin(), deletes.end());
  const auto reportTwice = [&](const std::vector<ObjectKey>& aKeys,
                               ConfigFaultCode aCode) {
    for (std::size_t i = 1; i < aKeys.size(); i++) {
      if (aKeys[i] == aKeys[i - 1]) {
        AddFault(aFaults, aCode, KeyText(aKeys[i]), "", "");
      }
    }
  };
  reportTwice(puts, ConfigFaultCode::PutTwice);
  reportTwice(deletes, ConfigFaultCode::DeleteTwice);
  ConfigSet rest = aBefore;
  for (const ObjectKey& key : deletes) {
    const bool put = std::binary_search(puts.begin(), puts.end(), key);
    if (put) {
      AddFault(aFaults, ConfigFaultCode::PutAndDelete, KeyText(key), "", "");
    }
    if (!DeleteObject(rest, key) && !put) {
      AddFault(aFaults, ConfigFaultCode::DeleteAbsent, KeyText(key), "", "");
    }
  }
}

} // namespace

bool
IsValidObjectName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         IsNameStart(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), IsNamePart);
}

bool
IsValidChangeId(std::string_view aId)
{
  const auto good = [](char aChar) {
    return IsNamePart(aChar) || (aChar >= 'A' && aChar <= 'Z');
  };
  return !aId.empty() && aId.size() <= kMaxChangeIdBytes &&
         std::all_of(aId.begin(), aId.end(), good);
}

std::uint32_t
DaemonsPerServer(const ConfigSet& aSet)
{
  const FleetSpec fleet =
    aSet.fleets_.empty() ? FleetSpec{} : aSet.fleets_.begin()->second;
  return fleet.homesPerServer_ == 0 ? fleet.maxDaemons_ : fleet.homesPerServer_;
}

ConfigFaultCode
CheckAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos || !IsValidPort(aAddress.substr(colon + 1))) {
    return ConfigFaultCode::BadAddress;
  }
  std::string host = aAddress.substr(0, colon);
  const bool noPort = aAddress.substr(colon + 1) == "0";
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    in6_addr six{};
    if (inet_pton(AF_INET6, host.c_str(), &six) != 1) {
      return ConfigFaultCode::BadAddress;
    }
    const bool unusable =
      IN6_IS_ADDR_UNSPECIFIED(&six) || IN6_IS_ADDR_MULTICAST(&six);
    return unusable || noPort ? ConfigFaultCode::AddressNotUsable
                              : ConfigFaultCode::End;
  }
  in_addr four{};
  if (inet_pton(AF_INET, host.c_str(), &four) != 1) {
    return ConfigFaultCode::BadAddress;
  }
  const std::uint32_t number = ntohl(four.s_addr);
  const bool unusable =
    (number >> 24U) == 0 || (number >> 24U) >= kFirstMulticast;
  return unusable || noPort ? ConfigFaultCode::AddressNotUsable
                            : ConfigFaultCode::End;
}

void
Report(const ObjectFaults& aFaults,
       ConfigFaultCode aCode,
       std::string_view aField,
       std::string_view aReason)
{
  AddFault(*aFaults.faults_, aCode, aFaults.object_, aField, aReason);
}

std::string
EntryPath(std::string_view aList, std::size_t aIndex, std::string_view aField)
{
  std::string path = std::string(aList) + "[" + std::to_string(aIndex) + "]";
  if (!aField.empty()) {
    path += "." + std::string(aField);
  }
  return path;
}

bool
IsServiceReachable(const ConfigSet& aSet, const std::string& aService)
{
  const auto found = aSet.services_.find(aService);
  if (found == aSet.services_.end()) {
    return false;
  }
  const std::vector<ServerSpec>& servers = found->second.servers_;
  return std::any_of(servers.begin(),
                     servers.end(),
                     [](const ServerSpec& aOne) { return !aOne.draining_; });
}

ConfigFaults
CheckSet(const ConfigSet& aSet)
{
  ConfigFaults faults;
  CheckIndexes(aSet, faults);
  CheckServices(aSet, faults);
  CheckRoutes(aSet, faults);
  CheckLimits(aSet, faults);
  return faults;
}

ConfigFaults
CheckChange(const ConfigSet& aBefore,
            Generation aGeneration,
            const Change& aChange)
{
  ConfigFaults faults;
  CheckDocument(aBefore, aGeneration, aChange, faults);
  const ConfigSet after = MergeChange(aBefore, aChange);
  for (const ConfigFaults& part :
       { CheckSet(after), CheckTransition(aBefore, after) }) {
    for (const ConfigFault& fault : part) {
      AddFault(faults, fault.code_, fault.object_, fault.field_, fault.reason_);
    }
  }
  return faults;
}

} // namespace camphorfield
