/** Hashes of order states and items in flight, by which the search detects
 * states that it has visited. */
#include "core/hash_func.h"
#include "order/explore_fixture.h"

namespace camphorfield {

namespace {

/** Hash of the fields added so far. */
struct Hasher
{
  std::uint64_t value_ = 1;
};

void
Add(Hasher& aHash, std::uint64_t aNumber)
{
  aHash.value_ = HashPair(aHash.value_, aNumber);
}

void
Add(Hasher& aHash, std::string_view aText)
{
  Add(aHash, HashText(aText));
}

void
Add(Hasher& aHash, TimePoint aTime)
{
  Add(aHash, static_cast<std::uint64_t>(aTime.time_since_epoch().count()));
}

void
Add(Hasher& aHash, const KeyDigest& aKey)
{
  Add(aHash, aKey.high_);
  Add(aHash, aKey.low_);
}

void
Add(Hasher& aHash, const LogRecord& aRecord)
{
  Add(aHash, static_cast<std::uint64_t>(aRecord.kind_));
  Add(aHash, aRecord.key_);
  Add(aHash, static_cast<std::uint64_t>(aRecord.code_));
  Add(aHash, aRecord.attempt_);
}

void
Add(Hasher& aHash, const OrderWaiter& aWaiter)
{
  Add(aHash, aWaiter.request_.value_);
  Add(aHash, aWaiter.from_.value_);
  Add(aHash, aWaiter.call_.value_);
  Add(aHash, aWaiter.deadline_);
  Add(aHash, aWaiter.mayRunElsewhere_ ? 1 : 0);
}

void
Add(Hasher& aHash, const IncomingOrder& aOrder)
{
  Add(aHash, aOrder.waiter_);
  Add(aHash, aOrder.digest_);
}

template<typename Item>
void
AddAll(Hasher& aHash, const std::vector<Item>& aItems)
{
  Add(aHash, aItems.size());
  for (const Item& item : aItems) {
    Add(aHash, item);
  }
}

void
Add(Hasher& aHash, const OrderTable& aTable)
{
  Add(aHash, aTable.entries_.size());
  for (const auto& [key, entry] : aTable.entries_) {
    Add(aHash, key);
    Add(aHash, static_cast<std::uint64_t>(entry.state_));
    Add(aHash, static_cast<std::uint64_t>(entry.code_));
    Add(aHash, entry.attempt_);
  }
  for (const auto& [key, attempt] : aTable.attempts_) {
    Add(aHash, key);
    Add(aHash, attempt.order_);
    Add(aHash, attempt.dispatch_.value_);
    AddAll(aHash, attempt.waiters_);
  }
}

void
Add(Hasher& aHash, const LogHead& aHead)
{
  Add(aHash, aHead.epoch_);
  Add(aHash, aHead.owner_.value_);
  Add(aHash, aHead.incarnation_.value_);
  Add(aHash, aHead.released_ ? 1 : 0);
  Add(aHash, aHead.batch_);
  Add(aHash, static_cast<std::uint64_t>(aHead.floorUnixMs_));
  AddAll(aHash, aHead.records_);
}

void
Add(Hasher& aHash, const OrderRange& aRange)
{
  Add(aHash, static_cast<std::uint64_t>(aRange.state_));
  Add(aHash, aRange.head_);
  Add(aHash, aRange.version_);
  Add(aHash,
      (aRange.write_.active_ ? 1U : 0U) | (aRange.write_.reading_ ? 2U : 0U) |
        (aRange.write_.releases_ ? 4U : 0U) | (aRange.releasing_ ? 8U : 0U));
  Add(aHash, aRange.write_.expectedVersion_);
  Add(aHash, aRange.write_.head_);
  AddAll(aHash, aRange.pending_);
  AddAll(aHash, aRange.queuedOrders_);
  Add(aHash, aRange.table_);
  Add(aHash, aRange.call_.value_);
  for (const TimePoint time : { aRange.retryAt_,
                                aRange.flushAt_,
                                aRange.appendAt_,
                                aRange.graceUntil_,
                                aRange.copyWaitUntil_,
                                aRange.rebalanceAt_,
                                aRange.releaseBy_ }) {
    Add(aHash, time);
  }
}

void
Add(Hasher& aHash, const OrderRelay& aRelay)
{
  Add(aHash, aRelay.order_);
  Add(aHash, aRelay.target_.value_);
  Add(aHash, aRelay.call_.value_);
  Add(aHash, aRelay.retryAt_);
  Add(aHash, aRelay.giveUpAt_);
  Add(aHash, aRelay.refusals_);
  for (const PeerCallId call : aRelay.earlierCalls_) {
    Add(aHash, call.value_);
  }
}

void
AddBody(Hasher& aHash, const PeerBody& aBody)
{
  Add(aHash, aBody.index());
  if (const auto* forward = std::get_if<OrderForward>(&aBody)) {
    Add(aHash, forward->call_.value_);
    Add(aHash, forward->key_);
    Add(aHash, static_cast<std::uint64_t>(forward->remaining_.count()));
  } else if (const auto* answer = std::get_if<OrderForwarded>(&aBody)) {
    Add(aHash, answer->call_.value_);
    Add(aHash, static_cast<std::uint64_t>(answer->code_));
    Add(aHash, answer->accepted_ ? 1 : 0);
  } else if (const auto* copy = std::get_if<OrderOutcomeCopy>(&aBody)) {
    Add(aHash, copy->key_);
  }
}

} // namespace

std::uint64_t
HashOrderState(const OrderState& aState)
{
  Hasher hash;
  Add(hash, aState.settings_.incarnation_.value_);
  Add(hash, aState.stopping_ ? 1 : 0);
  for (const OrderRange& range : aState.ranges_) {
    Add(hash, range);
  }
  Add(hash, aState.tokens_);
  Add(hash, aState.orphans_);
  for (const auto& [id, ref] : aState.dispatches_) {
    Add(hash, id.value_);
    Add(hash, ref.table_);
    Add(hash, ref.key_);
  }
  for (const auto& [request, relay] : aState.relays_) {
    Add(hash, request.value_);
    Add(hash, relay);
  }
  for (const auto& [sender, received] : aState.receivedCalls_) {
    Add(hash, sender.value_);
    Add(hash, received.incarnation_.value_);
    for (const auto& [call, known] : received.calls_) {
      Add(hash, call.value_);
      Add(hash, static_cast<std::uint64_t>(known.code_));
      Add(hash, (known.answered_ ? 1U : 0U) | (known.accepted_ ? 2U : 0U));
    }
  }
  for (const auto& [key, copy] : aState.copies_) {
    Add(hash, key);
  }
  return hash.value_;
}

std::uint64_t
HashDelivery(const Delivery& aDelivery)
{
  Hasher hash;
  Add(hash, aDelivery.to_);
  Add(hash, aDelivery.incarnation_.value_);
  if (aDelivery.call_) {
    Add(hash, aDelivery.call_->id_.value_);
    Add(hash, aDelivery.call_->value_);
    return hash.value_;
  }
  if (aDelivery.dispatch_) {
    Add(hash, aDelivery.dispatch_->id_.value_);
    Add(hash, aDelivery.dispatch_->key_);
    return hash.value_;
  }
  Add(hash, aDelivery.event_.index());
  if (const auto* reply = std::get_if<PlatformReply>(&aDelivery.event_)) {
    Add(hash, reply->id_.value_);
    Add(hash, static_cast<std::uint64_t>(reply->status_));
    for (const PlatformObject& object : reply->objects_) {
      Add(hash, object.version_);
    }
  } else if (const auto* peer = std::get_if<PeerMessage>(&aDelivery.event_)) {
    AddBody(hash, peer->body_);
  } else if (const auto* end =
               std::get_if<OrderDispatched>(&aDelivery.event_)) {
    Add(hash, end->id_.value_);
    Add(hash, static_cast<std::uint64_t>(end->state_));
  }
  return hash.value_;
}

} // namespace camphorfield
