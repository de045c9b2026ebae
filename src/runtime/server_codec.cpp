// HTTP form of sub-requests to backend servers. Checks the echoed labels, so
// that a response to another request, shard or version isn't taken as the
// answer.
#include "runtime/server_link.h"

#include "core/answer_status.h"

#include <boost/json.hpp>
#include <charconv>

namespace camphorfield {

namespace {

const char*
PathOf(SubKind aKind)
{
  switch (aKind) {
    case SubKind::Order:
      return "/v1/order";
    case SubKind::Cancel:
      return "/v1/cancel";
    case SubKind::Health:
      return "/v1/health";
    default:
      return "/v1/query";
  }
}

std::string
RequestIdText(const std::string& aIdPrefix, SubRequestId aId)
{
  return aIdPrefix + "-" + std::to_string(aId.value_);
}

/** Time left until the deadline, in milliseconds with three decimals. */
std::string
RemainingText(TimePoint aDeadline, TimePoint aNow)
{
  constexpr std::int64_t kMicrosPerMilli = 1000;
  const std::int64_t left = std::max<std::int64_t>(
    0, std::chrono::duration_cast<Duration>(aDeadline - aNow).count());
  std::string decimals = std::to_string(left % kMicrosPerMilli);
  decimals.insert(0, 3 - decimals.size(), '0');
  return std::to_string(left / kMicrosPerMilli) + "." + decimals;
}

SubRequestId
ParseRequestId(std::string_view aText, const std::string& aIdPrefix)
{
  const std::string prefix = aIdPrefix + "-";
  SubRequestId id;
  if (aText.substr(0, prefix.size()) != prefix) {
    return id;
  }
  const std::string_view digits = aText.substr(prefix.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), id.value_);
  return id;
}

double
ParseLoad(std::string_view aText)
{
  double load = -1.0;
  std::from_chars(aText.data(), aText.data() + aText.size(), load);
  return load;
}

SubStatus
StatusOf(const HttpResponse& aResponse)
{
  const bool notRun = FindField(aResponse.fields_, "X-Not-Run") == "1";
  if (notRun && aResponse.status_ == 409) {
    return SubStatus::WrongVersion;
  }
  if (notRun && aResponse.status_ == 503) {
    return SubStatus::Refused;
  }
  if (notRun) {
    return SubStatus::NotRun;
  }
  // A server that doesn't report so may have run it, whatever the status means.
  if (ClassifyStatus(aResponse.status_) == StatusClass::PromisedNotRun) {
    return SubStatus::Failed;
  }
  if (aResponse.status_ >= 400 && aResponse.status_ < 500) {
    return SubStatus::Rejected;
  }
  if (aResponse.status_ != 200) {
    return SubStatus::Failed;
  }
  return SubStatus::Ok;
}

bool
LabelsDiffer(const SubRequest& aRequest, const SubAnswer& aAnswer)
{
  if (aRequest.kind_ == SubKind::Cancel || aRequest.kind_ == SubKind::Health) {
    return false;
  }
  if (aAnswer.statedId_ != aRequest.id_) {
    return true;
  }
  return aRequest.kind_ == SubKind::Query &&
         (aAnswer.statedShard_ != aRequest.shard_ ||
          aAnswer.statedVersion_ != aRequest.version_);
}

void
ReadHealth(const std::string& aBody, SubAnswer& aAnswer)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aBody, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    aAnswer.status_ = SubStatus::Corrupt;
    return;
  }
  if (const auto* draining = object->if_contains("draining")) {
    aAnswer.draining_ = draining->is_bool() && draining->get_bool();
  }
  if (const auto* load = object->if_contains("load")) {
    aAnswer.load_ =
      load->is_number() ? load->to_number<double>() : aAnswer.load_;
  }
  const auto* ready = object->if_contains("ready");
  if (ready != nullptr && ready->is_bool() && !ready->get_bool()) {
    aAnswer.status_ = SubStatus::Refused;
  }
  const auto* versions = object->if_contains("versions");
  if (versions == nullptr || !versions->is_array()) {
    return;
  }
  for (const boost::json::value& item : versions->get_array()) {
    if (item.is_int64() && item.get_int64() > 0) {
      aAnswer.versions_.push_back(
        SnapshotVersion{ static_cast<std::uint64_t>(item.get_int64()) });
    }
  }
}

} // namespace

HttpRequest
EncodeSubRequest(const SubRequest& aRequest,
                 const std::string& aIdPrefix,
                 TimePoint aNow)
{
  HttpRequest request;
  request.target_ = PathOf(aRequest.kind_);
  request.method_ =
    aRequest.kind_ == SubKind::Health ? HttpMethod::Get : HttpMethod::Post;
  std::vector<HttpField>& fields = request.fields_;
  fields.push_back({ "X-Request-Id", RequestIdText(aIdPrefix, aRequest.id_) });
  if (aRequest.deadline_ != kNever) {
    fields.push_back(
      { "X-Deadline-Ms", RemainingText(aRequest.deadline_, aNow) });
  }
  if (!aRequest.service_.empty()) {
    fields.push_back({ "X-Service", aRequest.service_ });
  }
  if (aRequest.kind_ == SubKind::Query) {
    fields.push_back({ "X-Shard", aRequest.shard_ });
    fields.push_back(
      { "X-Index-Version", std::to_string(aRequest.version_.value_) });
  }
  if (!aRequest.key_.empty()) {
    fields.push_back({ "Idempotency-Key", aRequest.key_ });
  }
  if (aRequest.cancels_.IsValid()) {
    fields.push_back(
      { "X-Cancels", RequestIdText(aIdPrefix, aRequest.cancels_) });
  }
  if (aRequest.body_ != nullptr) {
    request.body_ = *aRequest.body_;
  }
  return request;
}

SubAnswer
DecodeSubAnswer(const SubRequest& aRequest,
                const std::string& aIdPrefix,
                const HttpResponse& aResponse,
                bool aTruncated)
{
  const std::vector<HttpField>& fields = aResponse.fields_;
  SubAnswer answer;
  answer.id_ = aRequest.id_;
  answer.connection_ = aRequest.connection_;
  answer.status_ = StatusOf(aResponse);
  answer.statedId_ =
    ParseRequestId(FindField(fields, "X-Request-Id"), aIdPrefix);
  answer.statedShard_ = std::string(FindField(fields, "X-Shard"));
  answer.statedVersion_ =
    SnapshotVersion{ FieldNumber(fields, "X-Index-Version", 0) };
  answer.draining_ = FindField(fields, "X-Draining") == "1";
  answer.closing_ = aResponse.close_;
  answer.load_ = ParseLoad(FindField(fields, "X-Load"));
  if (aRequest.kind_ == SubKind::Health && answer.status_ == SubStatus::Ok) {
    ReadHealth(aResponse.body_, answer);
  }
  const bool whole = !aTruncated && !LabelsDiffer(aRequest, answer);
  if (answer.status_ == SubStatus::Ok && !whole) {
    answer.status_ = SubStatus::Corrupt;
  }
  answer.body_ = std::make_shared<const std::string>(aResponse.body_);
  return answer;
}

} // namespace camphorfield
