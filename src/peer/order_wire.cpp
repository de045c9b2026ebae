// Converts forwarded orders and copies of their outcomes. An answer without a
// result is refused, so that it is not taken for success or for "not run".
#include "peer/wire_internal.h"

namespace camphorfield {

wire::OrderForward
OrderForwardToWire(const OrderForward& aForward)
{
  wire::OrderForward out;
  out.__set_call(IdToWire(aForward.call_));
  out.__set_caller(aForward.caller_);
  out.__set_route(aForward.route_);
  out.__set_key(aForward.key_);
  if (aForward.body_) {
    out.__set_body(*aForward.body_);
  }
  out.__set_remainingMicros(aForward.remaining_.count());
  out.__set_generation(IdToWire(aForward.generation_));
  return out;
}

OrderForward
OrderForwardFromWire(const wire::OrderForward& aWire)
{
  OrderForward out;
  IdFromWire(aWire.call, out.call_);
  out.caller_ = aWire.caller;
  out.route_ = aWire.route;
  out.key_ = aWire.key;
  if (aWire.__isset.body) {
    out.body_ = std::make_shared<const std::string>(aWire.body);
  }
  out.remaining_ = Duration(aWire.remainingMicros);
  IdFromWire(aWire.generation, out.generation_);
  return out;
}

wire::OrderForwarded
OrderForwardedToWire(const OrderForwarded& aForwarded)
{
  wire::OrderForwarded out;
  out.__set_call(IdToWire(aForwarded.call_));
  out.__set_code(static_cast<std::int16_t>(aForwarded.code_));
  out.__set_accepted(aForwarded.accepted_);
  out.__set_replayed(aForwarded.replayed_);
  if (aForwarded.body_) {
    out.__set_body(*aForwarded.body_);
  }
  return out;
}

OrderForwarded
OrderForwardedFromWire(const wire::OrderForwarded& aWire)
{
  // A missing code would decode as Ok and a missing accepted_ as refused. Only
  // the owner may state that an order did not run.
  if (!aWire.__isset.code || !aWire.__isset.accepted) {
    throw WireError("an order's answer lacks its result");
  }
  OrderForwarded out;
  IdFromWire(aWire.call, out.call_);
  out.code_ = EnumFromWire<ResultCode>(aWire.code);
  out.accepted_ = aWire.accepted;
  out.replayed_ = aWire.replayed;
  if (aWire.__isset.body) {
    out.body_ = std::make_shared<const std::string>(aWire.body);
  }
  return out;
}

wire::OrderOutcomeCopy
OutcomeCopyToWire(const OrderOutcomeCopy& aCopy)
{
  wire::OrderOutcomeCopy out;
  out.__set_caller(aCopy.caller_);
  out.__set_key(aCopy.key_);
  out.__set_fingerprint(IdToWire(aCopy.body_));
  out.__set_code(static_cast<std::int16_t>(aCopy.code_));
  if (aCopy.answer_) {
    out.__set_answer(*aCopy.answer_);
  }
  out.__set_unixMicros(aCopy.unixMicros_);
  return out;
}

OrderOutcomeCopy
OutcomeCopyFromWire(const wire::OrderOutcomeCopy& aWire)
{
  if (!aWire.__isset.code) {
    throw WireError("an outcome lacks its result");
  }
  OrderOutcomeCopy out;
  out.caller_ = aWire.caller;
  out.key_ = aWire.key;
  IdFromWire(aWire.fingerprint, out.body_);
  out.code_ = EnumFromWire<ResultCode>(aWire.code);
  if (aWire.__isset.answer) {
    out.answer_ = std::make_shared<const std::string>(aWire.answer);
  }
  out.unixMicros_ = aWire.unixMicros;
  return out;
}

} // namespace camphorfield
