// Puts evacuations in force. A daemon that starts while the store is slow or
// refuses it uses no server until it knows which domains are evacuated, from
// the store or another daemon, or until neither can be reached for as long as
// an evacuation may take to be in force.
#include "runtime/gateway_host.h"

#include "discovery/stale_evacuations.h"
#include "gateway/gateway_func.h"
#include "membership/membership_func.h"
#include "observe/log.h"
#include "runtime/clock.h"

#include <algorithm>

namespace camphorfield {

std::vector<TableSync*>
GatewayHost::Tables()
{
  std::vector<TableSync*> tables;
  for (std::size_t i = 0; i < store_.Count(); ++i) {
    tables.push_back(&store_.Table(i));
  }
  return tables;
}

/** The tables that a feed holds: a store that never answers for evacuations
 * must not keep the other tables from being passed on. */
std::vector<const TableSync*>
GatewayHost::TablesToSend()
{
  std::vector<const TableSync*> tables;
  for (std::size_t i = 0; i < store_.Count(); ++i) {
    if (i != kEvacuationsTable || store_.Table(i).complete_) {
      tables.push_back(&store_.Table(i));
    }
  }
  return tables;
}

void
GatewayHost::AdoptEvacuations()
{
  const TableSync& table = store_.Table(kEvacuationsTable);
  if (evacuationsKnown_ != table.complete_) {
    encodedFeed_.clear();
  }
  evacuationsKnown_ = table.complete_;
  const EvacuationChange change =
    GatewayAdoptEvacuations(gateway_,
                            EvacuationsInForce(table, peerEvacuations_),
                            ReadClock(),
                            rng_,
                            decisions_);
  for (const std::string& domain : change.begun_) {
    WriteLog(LogLevel::Warning,
             "failure domain evacuated",
             { { "domain", domain },
               { "revision", std::to_string(table.revision_) } });
  }
  for (const std::string& domain : change.ended_) {
    WriteLog(LogLevel::Info,
             "failure domain returns",
             { { "domain", domain },
               { "revision", std::to_string(table.revision_) } });
  }
  ApplyDecisions();
  if (serversWithheldSince_ != kNever && MayUseServers()) {
    AdoptServers();
  }
}

std::optional<std::set<std::string>>
GatewayHost::StatedEvacuations()
{
  return KnowsEvacuations() ? std::nullopt : peerEvacuations_;
}

void
GatewayHost::TakePeerEvacuations(const FeedMessage& aMessage)
{
  auto domains = FindEvacuations(aMessage, settings_.evacuationsKind_);
  if (!domains || store_.Table(kEvacuationsTable).complete_) {
    return;
  }
  needsNoEvacuations_ = true;
  if (peerEvacuations_) {
    domains->insert(peerEvacuations_->begin(), peerEvacuations_->end());
  }
  if (peerEvacuations_ == domains) {
    return;
  }
  peerEvacuations_ = std::move(domains);
  encodedFeed_.clear();
  AdoptEvacuations();
  MembershipSetReady(membership_, IsReady());
}

/** Whether the evacuations are known, or have been unknown for too long. */
bool
GatewayHost::MayUseServers()
{
  const bool may = store_.Count() <= kEvacuationsTable || needsNoEvacuations_ ||
                   store_.Table(kEvacuationsTable).complete_;
  serversWithheldSince_ =
    may ? kNever : std::min(serversWithheldSince_, ReadClock().mono_);
  return may;
}

void
GatewayHost::EndServerWait()
{
  if (serversWithheldSince_ == kNever ||
      ReadClock().mono_ - serversWithheldSince_ < settings_.evacuateWithin_) {
    return;
  }
  needsNoEvacuations_ = true;
  WriteLog(LogLevel::Warning,
           "servers used although evacuations are unknown",
           { { "waited_millis",
               std::to_string(settings_.evacuateWithin_.count() / 1000) } });
  AdoptTables({ kServersTable });
}

} // namespace camphorfield
