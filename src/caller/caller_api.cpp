// Checks and serves the HTTP requests of callers. Malformed requests are
// refused here, before they load the core.
#include "caller/caller_api.h"

#include "caller/caller_json.h"
#include "core/name_func.h"

#include <string>
#include <string_view>

namespace camphorfield {

namespace {

constexpr std::string_view kQueryPath = "/v1/query/";
constexpr std::string_view kOrderPath = "/v1/order/";
constexpr std::string_view kEntriesPath = "/v1/entries";
constexpr std::uint64_t kMaxTimeoutMillis = 10ULL * 60 * 1000;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint32_t kMaxTokens = 100;

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

bool
IsPrintable(std::string_view aText)
{
  for (const char c : aText) {
    if (c <= ' ' || c > '~') {
      return false;
    }
  }
  return true;
}

/** Describes why a request is malformed; nullptr when it is valid. */
const char*
FindRequestError(const CallerRequest& aRequest)
{
  if (!IsValidName(aRequest.caller_)) {
    return "header Caller must be 1 to 64 letters, digits, '.', '_' or '-'";
  }
  if (!IsValidName(aRequest.route_)) {
    return "the route must be 1 to 64 letters, digits, '.', '_' or '-'";
  }
  if (aRequest.idempotencyKey_.size() > kMaxKeyBytes ||
      !IsPrintable(aRequest.idempotencyKey_)) {
    return "header Idempotency-Key must be at most 256 printable characters";
  }
  return nullptr;
}

HttpResponse
ServeRequest(Host& aHost,
             const HttpRequest& aRequest,
             HttpSession& aSession,
             RouteMode aMode,
             std::string_view aRoute)
{
  CallerRequest request;
  request.mode_ = aMode;
  request.caller_ = std::string(FindField(aRequest.fields_, "Caller"));
  request.route_ = std::string(aRoute);
  request.idempotencyKey_ =
    std::string(FindField(aRequest.fields_, "Idempotency-Key"));
  const std::uint64_t timeout =
    std::min(FieldNumber(aRequest.fields_, "Timeout-Ms", 0), kMaxTimeoutMillis);
  request.timeout_ = std::chrono::milliseconds(timeout);
  if (const char* error = FindRequestError(request)) {
    return RenderRefusal(ResultCode::BadRequest, error);
  }
  const std::uint64_t id = aHost.IssueRequestId(aSession.WorkerIndex());
  request.id_ = CallerRequestId{ id };
  request.body_ = std::make_shared<const std::string>(aRequest.body_);
  aSession.WatchDisconnect([&aHost, id]() {
    aHost.Submit(CallerDisconnected{ CallerRequestId{ id } });
  });
  const HostAnswer answer = aHost.SubmitAndWait(id, request);
  if (const auto* query = std::get_if<QueryAnswer>(&answer)) {
    return RenderQuery(*query);
  }
  if (const auto* order = std::get_if<OrderAnswer>(&answer)) {
    return RenderOrder(*order);
  }
  return RenderRefusal(ResultCode::Internal, "unexpected answer");
}

HttpResponse
ServeEntries(Host& aHost, const HttpTarget& aTarget, HttpSession& aSession)
{
  EntriesRequest request;
  const std::uint64_t id = aHost.IssueRequestId(aSession.WorkerIndex());
  request.id_ = CallerRequestId{ id };
  request.failureDomain_ =
    std::string(FindField(aTarget.params_, "failure_domain"));
  request.tokens_ = static_cast<std::uint32_t>(std::min<std::uint64_t>(
    FieldNumber(aTarget.params_, "tokens", 0), kMaxTokens));
  const HostAnswer answer = aHost.SubmitAndWait(id, request);
  if (const auto* entries = std::get_if<EntriesAnswer>(&answer)) {
    return RenderEntries(*entries);
  }
  return RenderRefusal(ResultCode::Internal, "unexpected answer");
}

} // namespace

HttpResponse
ServeCaller(Host& aHost, const HttpRequest& aRequest, HttpSession& aSession)
{
  const HttpTarget target = ParseTarget(aRequest.target_);
  const std::string_view path = target.path_;
  const bool isPost = aRequest.method_ == HttpMethod::Post;
  if (isPost && StartsWith(path, kQueryPath)) {
    return ServeRequest(aHost,
                        aRequest,
                        aSession,
                        RouteMode::Query,
                        path.substr(kQueryPath.size()));
  }
  if (isPost && StartsWith(path, kOrderPath)) {
    return ServeRequest(aHost,
                        aRequest,
                        aSession,
                        RouteMode::Order,
                        path.substr(kOrderPath.size()));
  }
  if (aRequest.method_ == HttpMethod::Get && path == kEntriesPath) {
    return ServeEntries(aHost, target, aSession);
  }
  return RenderRefusal(ResultCode::NotFound, "no such path");
}

} // namespace camphorfield
