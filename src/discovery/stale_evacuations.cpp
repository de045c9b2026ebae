// An outage of the store in which daemons start: tables that are too old are
// not passed on as such, but an evacuation known to any daemon must hold at a
// daemon that has read the servers and not the evacuations.
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
  if (aKind.empty() || aMessage.revisions_.count(aKind) == 0) {
    return std::nullopt;
  }
  std::set<std::string> domains;
  for (const FeedChange& change : aMessage.changes_) {
    if (change.kind_ == aKind) {
      domains.insert(change.change_.object_.name_);
    }
  }
  return domains;
}

} // namespace camphorfield
