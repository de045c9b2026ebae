// Converts messages about the rates of organisations. Numbers out of range are
// refused: they would become tokens.
#include "peer/wire_internal.h"

namespace camphorfield {

namespace {

/** Waits of a day and more are taken for a mistake. */
constexpr std::int64_t kMaxWaitMicros = 86'400'000'000;

std::uint32_t
CountFromWire(std::int32_t aNumber)
{
  if (aNumber < 0) {
    throw WireError("negative count");
  }
  return static_cast<std::uint32_t>(aNumber);
}

Duration
WaitFromWire(std::int64_t aMicros)
{
  if (aMicros < 0 || aMicros > kMaxWaitMicros) {
    throw WireError("wait out of range");
  }
  return Duration(aMicros);
}

} // namespace

wire::RateCap
CapToWire(const CapMessage& aMessage)
{
  wire::RateCap out;
  out.__set_kind(static_cast<std::int16_t>(aMessage.kind_));
  out.__set_organisation(static_cast<std::int64_t>(aMessage.organisation_));
  if (aMessage.tokens_ > 0) {
    out.__set_tokens(static_cast<std::int32_t>(aMessage.tokens_));
  }
  if (aMessage.refused_ > 0) {
    out.__set_refused(static_cast<std::int32_t>(aMessage.refused_));
  }
  if (aMessage.owner_) {
    out.__set_owner(true);
  }
  if (aMessage.hint_.IsValid()) {
    out.__set_hint(IdToWire(aMessage.hint_));
  }
  if (aMessage.nextToken_.count() > 0) {
    out.__set_nextTokenMicros(aMessage.nextToken_.count());
  }
  if (aMessage.retryAfter_.count() > 0) {
    out.__set_retryAfterMicros(aMessage.retryAfter_.count());
  }
  return out;
}

CapMessage
CapFromWire(const wire::RateCap& aWire)
{
  CapMessage out;
  out.kind_ = EnumFromWire<CapMessageKind>(aWire.kind);
  out.organisation_ = static_cast<std::uint64_t>(aWire.organisation);
  out.tokens_ = CountFromWire(aWire.tokens);
  out.refused_ = CountFromWire(aWire.refused);
  out.owner_ = aWire.owner;
  IdFromWire(aWire.hint, out.hint_);
  out.nextToken_ = WaitFromWire(aWire.nextTokenMicros);
  out.retryAfter_ = WaitFromWire(aWire.retryAfterMicros);
  return out;
}

} // namespace camphorfield
