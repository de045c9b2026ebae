// An outage of the store in which daemons start: tables that are too old are
// not passed on as such, but an evacuation known to any daemon must hold at a
// daemon that has read the servers and not the evacuations. Daemons pass on
// what they were told of them: over a rolling release, while the store does not
// list this kind alone, none is left that has read it.
#include "discovery/stale_evacuations.h"

namespace camphorfield {

void
AddEvacuations(FeedMessage& aMessage,
               const std::string& aKind,
               const std::vector<const TableSync*>& aTables)
{
  for (const TableSync* table : aTables) {
    if (aKind.empty() || table->kind_ != aKind || !table->complete_) {
      continue;
    }
    aMessage.revisions_[aKind] = table->revision_;
    for (const auto& [name, object] : table->objects_) {
      aMessage.changes_.push_back(FeedChange{ 0, aKind, { object, false } });
    }
  }
}

std::optional<std::set<std::string>>
FindEvacuations(const FeedMessage& aMessage, const std::string& aKind)
{
  if (aKind.empty()) {
    return std::nullopt;
  }
  if (!aMessage.storeUnavailable_ || aMessage.revisions_.count(aKind) == 0) {
    return aMessage.statedEvacuations_;
  }
  std::set<std::string> domains;
  for (const FeedChange& change : aMessage.changes_) {
    if (change.kind_ == aKind) {
      domains.insert(change.change_.object_.name_);
    }
  }
  return domains;
}

// Unlike a server's entry, an evacuation that a restored store has again holds
// at once: its name says everything, and too much of it costs only capacity.
std::set<std::string>
EvacuationsInForce(const TableSync& aTable,
                   const std::optional<std::set<std::string>>& aStated)
{
  if (!aTable.complete_) {
    return aStated.value_or(std::set<std::string>{});
  }
  std::set<std::string> domains;
  for (const auto& [name, object] : aTable.objects_) {
    domains.insert(name);
  }
  return domains;
}

} // namespace camphorfield
