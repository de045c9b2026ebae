// Serves the HTTP requests of operators. Timeline and metrics are read
// directly; all other paths are requests to the core. Malformed requests are
// refused here.
#include "ops/ops_api.h"

#include "caller/caller_json.h"
#include "core/result_func.h"
#include "ops/ops_metrics.h"
#include "table/operator_table.h"

#include <string>
#include <string_view>

namespace camphorfield {

namespace {

constexpr std::size_t kMaxChangeIdBytes = 64;

bool
Matches(const OperatorPath& aRow, HttpMethod aMethod, std::string_view aPath)
{
  const std::string_view path = aRow.path_;
  if (aRow.method_ != aMethod) {
    return false;
  }
  return path.back() == '/' ? aPath.substr(0, path.size()) == path
                            : aPath == path;
}

HttpResponse
MakeTextResponse(std::string aText, const char* aType)
{
  HttpResponse response;
  response.fields_.push_back({ "Content-Type", aType });
  response.body_ = std::move(aText);
  return response;
}

HttpResponse
RenderAnswer(const OperatorAnswer& aAnswer)
{
  const ResultRow& row = GetResultRow(aAnswer.code_);
  HttpResponse response;
  response.status_ = row.httpStatus_;
  response.fields_.push_back({ "Content-Type", "application/json" });
  response.fields_.push_back({ "X-Result-Code", std::to_string(row.number_) });
  response.fields_.push_back({ "X-Result", row.name_ });
  response.body_ = aAnswer.text_;
  return response;
}

HttpResponse
CallCore(Host& aHost,
         const HttpRequest& aRequest,
         const HttpTarget& aTarget,
         HttpSession& aSession,
         const OperatorPath& aRow)
{
  OperatorRequest request;
  const std::uint64_t id = aHost.IssueRequestId(aSession.WorkerIndex());
  request.id_ = OperatorRequestId{ id };
  request.op_ = aRow.op_;
  request.text_ = aRequest.body_;
  request.changeId_ = std::string(FindField(aRequest.fields_, "Change-Id"));
  if (aRow.op_ == OperatorOp::Change) {
    request.changeId_ =
      aTarget.path_.substr(std::string_view(aRow.path_).size());
  }
  if (request.changeId_.size() > kMaxChangeIdBytes) {
    return RenderRefusal(ResultCode::BadRequest, "change id is too long");
  }
  request.generation_ =
    Generation{ FieldNumber(aTarget.params_, "generation", 0) };
  const HostAnswer answer = aHost.SubmitAndWait(id, request);
  if (const auto* reply = std::get_if<OperatorAnswer>(&answer)) {
    return RenderAnswer(*reply);
  }
  return RenderRefusal(ResultCode::Internal, "unexpected answer");
}

} // namespace

HttpResponse
ServeOperator(Host& aHost, const HttpRequest& aRequest, HttpSession& aSession)
{
  const HttpTarget target = ParseTarget(aRequest.target_);
  if (target.path_ == "/v1/timeline") {
    const std::uint64_t since = FieldNumber(target.params_, "since", 0);
    return MakeTextResponse(aHost.GetTimeline().RenderSince(since),
                            "application/x-ndjson");
  }
  if (target.path_ == "/metrics") {
    return MakeTextResponse(RenderMetrics(aHost), "text/plain; version=0.0.4");
  }
  for (const OperatorPath& row : kOperatorPaths) {
    if (Matches(row, aRequest.method_, target.path_)) {
      return CallCore(aHost, aRequest, target, aSession, row);
    }
  }
  return RenderRefusal(ResultCode::NotFound, "no such path");
}

} // namespace camphorfield
