// Encodes platform calls as HTTP and decodes the responses. A malformed
// response counts as PlatformStatus::Unreachable.
#include "platform/platform_client.h"

#include <boost/json.hpp>

namespace camphorfield {

namespace {

namespace json = boost::json;

std::string
ObjectTarget(std::string_view aKey)
{
  std::string target = "/v1/objects";
  while (!aKey.empty()) {
    const std::size_t end = aKey.find('/');
    target += '/';
    target += EncodeSegment(aKey.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    aKey.remove_prefix(end + 1);
  }
  return target;
}

std::string
WatchTarget(const PlatformCall& aCall)
{
  // The reply has to arrive before the call times out.
  constexpr std::int64_t kMarginMillis = 1000;
  const std::int64_t timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aCall.timeout_)
      .count();
  const std::int64_t wait = std::max(timeout - kMarginMillis, timeout / 2);
  return ObjectTarget(aCall.key_) +
         "?watch=" + std::to_string(aCall.expectedVersion_) +
         "&wait_ms=" + std::to_string(wait);
}

PlatformStatus
ToPlatformStatus(std::uint32_t aStatus)
{
  switch (aStatus) {
    case 200:
    case 201:
      return PlatformStatus::Ok;
    case 304:
      return PlatformStatus::Unchanged;
    case 404:
      return PlatformStatus::NotFound;
    case 412:
      return PlatformStatus::Conflict;
    case 429:
      return PlatformStatus::Throttled;
    default:
      return PlatformStatus::Unreachable;
  }
}

std::string
ReadText(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

bool
ReadBool(const json::object& aObject, const char* aName, bool aDefault)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() ? value->get_bool() : aDefault;
}

PlatformObject
ReadObject(const json::object& aObject)
{
  PlatformObject object;
  object.key_ = ReadText(aObject, "key");
  object.value_ = ReadText(aObject, "value");
  const json::value* version = aObject.if_contains("version");
  if (version != nullptr && version->is_int64() && version->get_int64() > 0) {
    object.version_ = static_cast<std::uint64_t>(version->get_int64());
  }
  return object;
}

VmRecord
ReadVm(const json::object& aObject)
{
  VmRecord vm;
  vm.name_ = ReadText(aObject, "name");
  vm.address_ = ReadText(aObject, "address");
  vm.failureDomain_ = ReadText(aObject, "failure_domain");
  vm.leaving_ = ReadBool(aObject, "leaving", false);
  vm.entry_ = ReadBool(aObject, "entry", true);
  return vm;
}

void
ReadArray(const std::string& aBody, PlatformReply& aReply)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  const json::array* array = error ? nullptr : value.if_array();
  if (array == nullptr) {
    aReply.status_ = PlatformStatus::Unreachable;
    return;
  }
  for (const json::value& item : *array) {
    const json::object* object = item.if_object();
    if (object == nullptr) {
      continue;
    }
    if (aReply.op_ == PlatformOp::VmList) {
      aReply.vms_.push_back(ReadVm(*object));
    } else {
      aReply.objects_.push_back(ReadObject(*object));
    }
  }
}

} // namespace

HttpRequest
EncodePlatformCall(const PlatformCall& aCall)
{
  HttpRequest request;
  request.target_ = ObjectTarget(aCall.key_);
  const std::string version = std::to_string(aCall.expectedVersion_);
  switch (aCall.op_) {
    case PlatformOp::Create:
      request.method_ = HttpMethod::Put;
      request.fields_.push_back({ "If-None-Match", "*" });
      request.body_ = aCall.value_;
      break;
    case PlatformOp::Update:
      request.method_ = HttpMethod::Put;
      request.fields_.push_back({ "If-Match", version });
      request.body_ = aCall.value_;
      break;
    case PlatformOp::Delete:
      request.method_ = HttpMethod::Delete;
      request.fields_.push_back({ "If-Match", version });
      break;
    case PlatformOp::List:
      request.target_ = "/v1/list?prefix=" + EncodeSegment(aCall.key_);
      break;
    case PlatformOp::Watch:
      request.target_ = WatchTarget(aCall);
      break;
    case PlatformOp::VmList:
      request.target_ = "/v1/vms";
      break;
    default:
      break;
  }
  return request;
}

PlatformReply
DecodePlatformReply(const PlatformCall& aCall, const HttpResponse& aResponse)
{
  PlatformReply reply;
  reply.id_ = aCall.id_;
  reply.user_ = aCall.user_;
  reply.op_ = aCall.op_;
  reply.key_ = aCall.key_;
  reply.status_ = ToPlatformStatus(aResponse.status_);
  if (reply.status_ != PlatformStatus::Ok) {
    return reply;
  }
  if (aCall.op_ == PlatformOp::List || aCall.op_ == PlatformOp::VmList) {
    ReadArray(aResponse.body_, reply);
    return reply;
  }
  PlatformObject object;
  object.key_ = aCall.key_;
  object.version_ = FieldNumber(aResponse.fields_, "X-Version", 0);
  const bool isRead =
    aCall.op_ == PlatformOp::Get || aCall.op_ == PlatformOp::Watch;
  object.value_ = isRead ? aResponse.body_ : aCall.value_;
  if (object.version_ == 0 && aCall.op_ != PlatformOp::Delete) {
    reply.status_ = PlatformStatus::Unreachable;
    return reply;
  }
  reply.objects_.push_back(std::move(object));
  return reply;
}

} // namespace camphorfield
