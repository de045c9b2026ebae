// Converts gossip messages. Fields with default values are left out to keep the
// messages of a large cluster small.
#include "core/hash_func.h"
#include "peer/wire_internal.h"

namespace camphorfield {

namespace {

wire::Rumor
RumorToWire(const Rumor& aRumor)
{
  wire::Rumor out;
  if (const auto* leaving = std::get_if<LeavingRumor>(&aRumor)) {
    wire::LeavingRumor wireLeaving;
    wireLeaving.__set_server(leaving->server_);
    wireLeaving.__set_leaving(leaving->leaving_);
    wireLeaving.__set_unixMicros(leaving->unixMicros_);
    if (leaving->listed_) {
      wireLeaving.__set_listed(true);
    }
    out.__set_leaving(wireLeaving);
    return out;
  }
  const auto& quarantine = std::get<QuarantineRumor>(aRumor);
  wire::QuarantineRumor wireQuarantine;
  wireQuarantine.__set_fingerprint(IdToWire(quarantine.fingerprint_));
  wireQuarantine.__set_crashes(static_cast<std::int32_t>(quarantine.crashes_));
  wireQuarantine.__set_untilUnixMicros(quarantine.untilUnixMicros_);
  const CrashEvidence& evidence = quarantine.evidence_;
  if (evidence != CrashEvidence{}) {
    wireQuarantine.__set_epoch(static_cast<std::int32_t>(evidence.epoch_));
    wireQuarantine.__set_servers(
      { evidence.servers_.begin(), evidence.servers_.end() });
    wireQuarantine.__set_requests(
      { evidence.requests_.begin(), evidence.requests_.end() });
    wireQuarantine.__set_moments(
      { evidence.moments_.begin(), evidence.moments_.end() });
    if (evidence.firstCrashedBy_ != 0) {
      wireQuarantine.__set_firstCrashedBy(
        static_cast<std::int64_t>(evidence.firstCrashedBy_));
    }
    if (evidence.lastAliveAt_ != 0) {
      wireQuarantine.__set_lastAliveAt(
        static_cast<std::int64_t>(evidence.lastAliveAt_));
    }
  }
  out.__set_quarantine(wireQuarantine);
  return out;
}

Rumor
RumorFromWire(const wire::Rumor& aWire)
{
  if (aWire.__isset.leaving == aWire.__isset.quarantine) {
    throw WireError("a rumor holds exactly one kind");
  }
  if (aWire.__isset.leaving) {
    return LeavingRumor{ aWire.leaving.server,
                         aWire.leaving.leaving,
                         aWire.leaving.unixMicros,
                         aWire.leaving.listed };
  }
  QuarantineRumor quarantine;
  IdFromWire(aWire.quarantine.fingerprint, quarantine.fingerprint_);
  quarantine.crashes_ = static_cast<std::uint32_t>(aWire.quarantine.crashes);
  quarantine.untilUnixMicros_ = aWire.quarantine.untilUnixMicros;
  // Joined, not copied: a peer's lists may be out of order or too long.
  JoinEvidence(
    quarantine.evidence_,
    { static_cast<std::uint32_t>(aWire.quarantine.epoch),
      { aWire.quarantine.servers.begin(), aWire.quarantine.servers.end() },
      { aWire.quarantine.requests.begin(), aWire.quarantine.requests.end() },
      { aWire.quarantine.moments.begin(), aWire.quarantine.moments.end() },
      static_cast<std::uint64_t>(aWire.quarantine.firstCrashedBy),
      static_cast<std::uint64_t>(aWire.quarantine.lastAliveAt) });
  return quarantine;
}

void
SetMemberTexts(const MemberRecord& aRecord, wire::Member& aMember)
{
  if (!aRecord.name_.empty()) {
    aMember.__set_name(aRecord.name_);
  }
  if (!aRecord.peerAddress_.empty()) {
    aMember.__set_peerAddress(aRecord.peerAddress_);
  }
  if (!aRecord.callerAddress_.empty()) {
    aMember.__set_callerAddress(aRecord.callerAddress_);
  }
  if (!aRecord.operatorAddress_.empty()) {
    aMember.__set_operatorAddress(aRecord.operatorAddress_);
  }
  if (aRecord.capacity_ != 0) {
    aMember.__set_capacity(static_cast<std::int32_t>(aRecord.capacity_));
  }
  if (!aRecord.failureDomain_.empty()) {
    aMember.__set_failureDomain(aRecord.failureDomain_);
  }
}

} // namespace

wire::Member
MemberToWire(const MemberRecord& aRecord)
{
  wire::Member out;
  // The identifier is usually the hash of the name; leaving it out saves ten
  // bytes.
  if (aRecord.name_.empty() || aRecord.id_.value_ != HashText(aRecord.name_)) {
    out.__set_id(IdToWire(aRecord.id_));
  }
  SetMemberTexts(aRecord, out);
  out.__set_incarnation(IdToWire(aRecord.incarnation_));
  if (aRecord.heartbeat_ != 0) {
    out.__set_heartbeat(static_cast<std::int64_t>(aRecord.heartbeat_));
  }
  if (aRecord.state_ != MemberState::Alive) {
    out.__set_state(static_cast<std::int16_t>(aRecord.state_));
  }
  if (aRecord.ready_) {
    out.__set_ready(true);
  }
  if (aRecord.readsStore_) {
    out.__set_readsStore(true);
  }
  if (aRecord.generation_.IsValid()) {
    out.__set_generation(IdToWire(aRecord.generation_));
  }
  if (aRecord.load_ != 0) {
    out.__set_load(static_cast<std::int32_t>(aRecord.load_));
  }
  return out;
}

MemberRecord
MemberFromWire(const wire::Member& aMember)
{
  MemberRecord out;
  out.name_ = aMember.name;
  if (aMember.__isset.id) {
    IdFromWire(aMember.id, out.id_);
  } else if (!out.name_.empty()) {
    out.id_.value_ = HashText(out.name_);
  }
  IdFromWire(aMember.incarnation, out.incarnation_);
  out.heartbeat_ = static_cast<std::uint64_t>(aMember.heartbeat);
  out.state_ = EnumFromWire<MemberState>(aMember.state);
  out.peerAddress_ = aMember.peerAddress;
  out.callerAddress_ = aMember.callerAddress;
  out.operatorAddress_ = aMember.operatorAddress;
  out.failureDomain_ = aMember.failureDomain;
  out.ready_ = aMember.ready;
  IdFromWire(aMember.generation, out.generation_);
  out.load_ = static_cast<std::uint32_t>(aMember.load);
  out.capacity_ = static_cast<std::uint32_t>(aMember.capacity);
  out.readsStore_ = aMember.readsStore;
  return out;
}

wire::Gossip
GossipToWire(std::uint64_t aSequence,
             const std::vector<MemberRecord>& aMembers,
             const std::vector<Rumor>& aRumors,
             std::uint64_t aViewHash)
{
  wire::Gossip out;
  out.__set_sequence(static_cast<std::int64_t>(aSequence));
  out.__set_viewHash(static_cast<std::int64_t>(aViewHash));
  out.__isset.members = !aMembers.empty();
  out.members.reserve(aMembers.size());
  for (const MemberRecord& record : aMembers) {
    out.members.push_back(MemberToWire(record));
  }
  out.__isset.rumors = !aRumors.empty();
  out.rumors.reserve(aRumors.size());
  for (const Rumor& rumor : aRumors) {
    out.rumors.push_back(RumorToWire(rumor));
  }
  return out;
}

void
SetAdopted(const AdoptedSet& aSet, wire::Gossip& aGossip)
{
  if (!aSet.generation_.IsValid()) {
    return;
  }
  wire::AdoptedSet set;
  set.__set_generation(IdToWire(aSet.generation_));
  set.__set_rosterHash(static_cast<std::int64_t>(aSet.rosterHash_));
  set.__set_members(aSet.members_);
  aGossip.__set_adopted(set);
}

AdoptedSet
AdoptedFromWire(const wire::AdoptedSet& aWire)
{
  AdoptedSet out;
  IdFromWire(aWire.generation, out.generation_);
  out.rosterHash_ = static_cast<std::uint64_t>(aWire.rosterHash);
  out.members_ = aWire.members;
  return out;
}

void
GossipPayloadFromWire(const wire::Gossip& aWire,
                      std::vector<MemberRecord>& aMembers,
                      std::vector<Rumor>& aRumors)
{
  aMembers.reserve(aWire.members.size());
  for (const wire::Member& member : aWire.members) {
    aMembers.push_back(MemberFromWire(member));
  }
  aRumors.reserve(aWire.rumors.size());
  for (const wire::Rumor& rumor : aWire.rumors) {
    aRumors.push_back(RumorFromWire(rumor));
  }
}

} // namespace camphorfield
