// Decodes the store's tables and puts them in force. A malformed configuration
// is rejected and the former one stays; malformed server entries are left out.
#include "runtime/gateway_host.h"

#include "core/hash_func.h"
#include "gateway/gateway_func.h"
#include "membership/membership_func.h"
#include "observe/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace camphorfield {

void
GatewayHost::OnTable(std::size_t aTable, const TableChange& aChange)
{
  const std::string& kind = store_.Table(aTable).kind_;
  if (aChange.lost_) {
    WriteLog(LogLevel::Warning, "store unavailable", { { "kind", kind } });
  }
  if (aChange.regained_) {
    WriteLog(LogLevel::Info, "store available again", { { "kind", kind } });
  }
  const TableSync& table = store_.Table(aTable);
  if (aChange.restored_) {
    evidence_.Recheck();
    WriteLog(LogLevel::Warning,
             "store restored from an older copy",
             { { "kind", kind },
               { "era", std::to_string(table.era_) },
               { "revision", std::to_string(table.revision_) } });
  }
  if (aChange.read_) {
    WriteLog(LogLevel::Info,
             "table read from the store",
             { { "kind", kind },
               { "objects", std::to_string(table.objects_.size()) },
               { "era", std::to_string(table.era_) },
               { "read_revision", std::to_string(table.pageRevision_) },
               { "revision", std::to_string(table.revision_) } });
  }
  if (aChange.changed_) {
    AdoptTables({ aTable });
  }
  ArmTimer();
}

// The feed states the revisions of all tables, so the changes of all of them
// are collected before it is sent.
void
GatewayHost::AdoptTables(const std::vector<std::size_t>& aTables)
{
  // Servers are used only once it is known which of them are evacuated.
  if (std::find(aTables.begin(), aTables.end(), kEvacuationsTable) !=
      aTables.end()) {
    AdoptEvacuations();
  }
  for (const std::size_t number : aTables) {
    if (!store_.Table(number).complete_) {
      continue;
    }
    if (number == kConfigTable) {
      AdoptConfig();
    } else if (number == kServersTable) {
      AdoptServers();
    }
    CollectChanges(feed_, store_.Table(number));
  }
  MembershipSetReady(membership_, IsReady());
  PushFeed();
}

void
GatewayHost::AdoptConfig()
{
  const TableSync& table = store_.Table(kConfigTable);
  const auto found = table.objects_.find(settings_.configName_);
  if (found == table.objects_.end()) {
    return;
  }
  const auto config = adapter_.decodeConfig_(found->second.text_);
  if (!config.ok()) {
    WriteLog(LogLevel::Error,
             "configuration rejected",
             { { "reason", std::string(config.status().message()) },
               { "revision", std::to_string(found->second.revision_) } });
    return;
  }
  const std::uint64_t version = (*config)->version_;
  if (!GatewayAdoptConfig(gateway_, *config, ReadClock(), rng_, decisions_)) {
    return;
  }
  WriteLog(LogLevel::Info,
           "configuration in force",
           { { "version", std::to_string(version) },
             { "revision", std::to_string(found->second.revision_) },
             { "routes", std::to_string((*config)->routes_.size()) } });
  ApplyDecisions();
  ReportTableAge();
  UpdateCapView();
  if (limitsHandler_) {
    limitsHandler_((*config)->limits_);
  }
  auto published = std::make_shared<PublishedConfig>();
  published->generation_ = Generation{ version };
  ForwardToMembership(ConfigAdopted{ std::move(published) });
}

void
GatewayHost::AdoptServers()
{
  if (!MayUseServers()) {
    return;
  }
  const TableSync& table = store_.Table(kServersTable);
  std::erase_if(entries_, [&table](const auto& aItem) {
    return table.objects_.count(aItem.first) == 0;
  });
  std::vector<BackendEntry> servers;
  for (const auto& [name, object] : table.objects_) {
    if (!IsInUse(table, name)) {
      continue;
    }
    auto& [hash, entry] = entries_[name];
    const std::uint64_t textHash = HashText(object.text_);
    if (hash != textHash) {
      auto decoded = adapter_.decodeServer_(name, object.text_);
      hash = textHash;
      if (!decoded.ok()) {
        entry = BackendEntry{};
        WriteLog(LogLevel::Warning,
                 "malformed server entry ignored",
                 { { "server", name },
                   { "reason", std::string(decoded.status().message()) } });
      } else {
        entry = *std::move(decoded);
      }
    }
    if (!entry.id_.empty()) {
      servers.push_back(entry);
    }
  }
  GatewayAdoptServers(gateway_, servers, ReadClock(), rng_, decisions_);
  ApplyDecisions();
}

} // namespace camphorfield
