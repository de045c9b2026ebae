// Applies the list of backend servers. Servers restart, move and drain, and
// lists may arrive out of order: stale entries never replace newer ones.
#include "gateway/backend/backend_internal.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"

#include <algorithm>
#include <set>

namespace camphorfield {

namespace {

using BackendKey = std::pair<std::string, std::int64_t>;

/** A server at another one's address shows that the other one has ended. */
void
RecordReplaced(GatewayStep& aStep, const BackendEntry& aEntry)
{
  std::set<std::uint64_t> replaced;
  for (const LostAttempt& one : aStep.state_.lost_) {
    const Backend* backend = FindSlot(aStep.state_.backends_, one.backend_);
    if (!one.crashed_ && backend != nullptr &&
        backend->entry_.address_ == aEntry.address_) {
      replaced.insert(one.backend_);
    }
  }
  for (const std::uint64_t key : replaced) {
    RecordCrash(aStep, key, CrashSign::Gone, "another server has its address");
  }
}

Backend&
AddBackend(GatewayStep& aStep, const BackendEntry& aEntry)
{
  GatewayState& state = aStep.state_;
  RecordReplaced(aStep, aEntry);
  RefuteCrash(aStep, aEntry);
  Backend& backend = AllocateSlot(state.backends_);
  const std::uint64_t key = backend.key_;
  backend = Backend{};
  backend.key_ = key;
  backend.entry_ = aEntry;
  backend.service_ = FindOrAddService(state, aEntry.service_);
  backend.incarnation_ = HashIncarnation(backend);
  backend.leaving_ =
    state.leavingSince_.count({ aEntry.id_, aEntry.startedMillis_ }) > 0;
  RestoreGuidance(aStep, backend);
  if (const auto cold =
        state.unlistedCold_.find({ aEntry.id_, aEntry.startedMillis_ });
      cold != state.unlistedCold_.end()) {
    backend.cold_ = cold->second;
    state.unlistedCold_.erase(cold);
  }
  state.services_[backend.service_].backends_.push_back(key);
  state.backendOf_[BackendKey(aEntry.id_, aEntry.startedMillis_)] = key;
  aStep.out_.emplace_back(BackendRecord{
    aEntry.id_, aEntry.service_, "listed", "at " + aEntry.address_ });
  return backend;
}

void
RemoveBackend(GatewayStep& aStep, Backend& aBackend)
{
  GatewayState& state = aStep.state_;
  if (IsUsable(aBackend)) {
    RecordCrash(aStep, aBackend.key_, CrashSign::Gone, "no longer listed");
  }
  KeepGuidance(aStep, aBackend);
  aBackend.listed_ = false;
  std::vector<std::uint64_t>& listed =
    state.services_[aBackend.service_].backends_;
  std::erase(listed, aBackend.key_);
  state.backendOf_.erase(
    BackendKey(aBackend.entry_.id_, aBackend.entry_.startedMillis_));
  aStep.out_.emplace_back(BackendRecord{ aBackend.entry_.id_,
                                         aBackend.entry_.service_,
                                         "removed",
                                         "no longer listed" });
  KeepCold(state, aBackend, aStep.Time());
  CloseIdle(aStep, aBackend);
  FreeIfUnused(state, aBackend.key_);
}

void
UpdateBackend(GatewayStep& aStep, Backend& aBackend, const BackendEntry& aEntry)
{
  const bool drains = aEntry.draining_ && !aBackend.entry_.draining_;
  aBackend.entry_ = aEntry;
  UpdateEvacuated(aStep, aBackend);
  if (drains) {
    aStep.out_.emplace_back(BackendRecord{
      aEntry.id_, aEntry.service_, "draining", "announced by the server" });
    CloseIdle(aStep, aBackend);
  }
}

/** Whether an entry is older than the newest one known of its server. */
bool
IsStale(const GatewayState& aState, const BackendEntry& aEntry)
{
  const auto newest = aState.newestWrite_.find(aEntry.id_);
  return newest != aState.newestWrite_.end() &&
         std::pair(aEntry.startedMillis_, aEntry.sequence_) < newest->second;
}

/** Returns the entries, with stale ones replaced by the newest known. */
std::map<BackendKey, BackendEntry>
ReplaceStale(GatewayState& aState, const std::vector<BackendEntry>& aServers)
{
  std::map<BackendKey, BackendEntry> listed;
  std::map<std::string, std::pair<std::int64_t, std::uint64_t>> newest;
  for (const BackendEntry& entry : aServers) {
    if (!IsStale(aState, entry)) {
      newest[entry.id_] = { entry.startedMillis_, entry.sequence_ };
      listed[BackendKey(entry.id_, entry.startedMillis_)] = entry;
      continue;
    }
    const auto& known = aState.newestWrite_.at(entry.id_);
    const BackendKey key(entry.id_, known.first);
    newest[entry.id_] = known;
    const auto backend = aState.backendOf_.find(key);
    if (backend != aState.backendOf_.end()) {
      listed[key] = aState.backends_.slots_[backend->second & kSlotMask].entry_;
    }
  }
  aState.newestWrite_ = std::move(newest);
  return listed;
}

/** Known servers that are no longer listed, or that are listed with another
 * address or service. */
std::vector<std::uint64_t>
FindRemoved(const GatewayState& aState,
            const std::map<BackendKey, BackendEntry>& aListed)
{
  std::vector<std::uint64_t> removed;
  for (const auto& [key, backendKey] : aState.backendOf_) {
    const BackendEntry& known =
      aState.backends_.slots_[backendKey & kSlotMask].entry_;
    const auto found = aListed.find(key);
    if (found == aListed.end() || found->second.address_ != known.address_ ||
        found->second.service_ != known.service_) {
      removed.push_back(backendKey);
    }
  }
  return removed;
}

} // namespace

ServiceNumber
FindOrAddService(GatewayState& aState, const std::string& aName)
{
  const auto [found, added] = aState.serviceNumber_.try_emplace(
    aName, static_cast<ServiceNumber>(aState.services_.size()));
  if (added) {
    aState.services_.emplace_back();
    aState.services_.back().name_ = aName;
  }
  return found->second;
}

const std::vector<ServiceNumber>&
ServicesOf(const GatewayState& aState, const GatewayRoute& aRoute)
{
  return aState.routeServices_[static_cast<std::size_t>(
    &aRoute - aState.config_->routes_.data())];
}

void
MarkService(GatewayState& aState, ServiceNumber aService)
{
  GatewayServiceState& service = aState.services_[aService];
  if (!service.marked_) {
    service.marked_ = true;
    aState.marked_.push_back(aService);
  }
}

void
FreeIfUnused(GatewayState& aState, std::uint64_t aBackend)
{
  Backend* backend = FindSlot(aState.backends_, aBackend);
  if (backend != nullptr && !backend->listed_ &&
      backend->connections_.empty()) {
    FreeSlot(aState.backends_, *backend);
  }
}

void
GatewayAdoptServers(GatewayState& aState,
                    const std::vector<BackendEntry>& aServers,
                    const Now& aNow,
                    Rng& aRng,
                    GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  const std::map<BackendKey, BackendEntry> listed =
    ReplaceStale(aState, aServers);
  for (const std::uint64_t key : FindRemoved(aState, listed)) {
    RemoveBackend(step, *FindSlot(aState.backends_, key));
  }
  for (const auto& [key, entry] : listed) {
    const auto known = aState.backendOf_.find(key);
    const bool isNew = known == aState.backendOf_.end();
    Backend* backend = isNew ? &AddBackend(step, entry)
                             : FindSlot(aState.backends_, known->second);
    // A list repeats entries; each tells once what is left of a cold phase.
    if (isNew || entry.sequence_ != backend->entry_.sequence_) {
      BeginCold(step, *backend, entry.warmupLeft_, "stated in its entry");
    }
    UpdateBackend(step, *backend, entry);
    backend->warmUntil_ = aNow.mono_ + entry.warmupLeft_;
    EnsureConnections(step, *backend);
    MarkService(aState, backend->service_);
  }
  DispatchMarked(step);
}

} // namespace camphorfield
