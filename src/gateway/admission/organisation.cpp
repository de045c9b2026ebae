// Callers that try keys: a lookup takes the same time for any unknown key, and
// how long it takes tells nothing about the keys, since only digests under a
// secret of this process are compared. Digests also keep the keys themselves
// out of the state of requests.
#include "gateway/admission/organisation.h"

namespace camphorfield {

KeyDigest
DigestKey(std::string_view aKey, const KeySeed& aSeed)
{
  return aKey.empty()
           ? KeyDigest{}
           : KeyDigest{ HashKeyed(aKey, aSeed[0]), HashKeyed(aKey, aSeed[1]) };
}

// A key that several organisations hold belongs to the first of them on every
// daemon.
OrganisationTable
MakeOrganisationTable(const GatewayConfig& aConfig, const KeySeed& aSeed)
{
  OrganisationTable table;
  if (!aConfig.organisations_) {
    return table;
  }
  table.configured_ = true;
  std::uint32_t index = 0;
  for (const Organisation& organisation : *aConfig.organisations_) {
    for (const std::string& key : organisation.keys_) {
      if (!key.empty()) {
        const KeyDigest digest = DigestKey(key, aSeed);
        table.byKey_.try_emplace(
          digest.first_, OrganisationTable::Entry{ digest.second_, index });
      }
    }
    ++index;
  }
  return table;
}

std::uint32_t
FindOrganisation(const OrganisationTable& aTable, const KeyDigest& aDigest)
{
  const auto found = aTable.byKey_.find(aDigest.first_);
  return found != aTable.byKey_.end() &&
             (found->second.second_ ^ aDigest.second_) == 0
           ? found->second.index_
           : kNoOrganisation;
}

} // namespace camphorfield
