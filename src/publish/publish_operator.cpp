// Handles requests of operators. Queues are bounded, so that an outage of the
// store doesn't pile up requests.
#include "core/digest_func.h"
#include "core/hash_func.h"
#include "object/fault_func.h"
#include "object/object_check.h"
#include "object/object_diff.h"
#include "object/object_json.h"
#include "publish/publish_internal.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

const ConfigSet kEmptySet;

const ConfigSet&
CurrentSet(const PublishState& aState)
{
  return aState.current_ == nullptr ? kEmptySet : aState.current_->set_;
}

void
AnswerFaults(PublishStep& aStep,
             const OperatorRequest& aRequest,
             const ConfigFaults& aFaults)
{
  AnswerOperator(aStep,
                 aRequest.id_,
                 ResultCode::ConfigRejected,
                 { { "change_id", aRequest.changeId_ },
                   { "in_force", CurrentGeneration(aStep.state_).value_ },
                   { "faults", json::parse(EncodeFaults(aFaults)) } });
}

void
OnCheck(PublishStep& aStep, const OperatorRequest& aRequest)
{
  const PublishState& state = aStep.state_;
  Change change;
  ConfigFaults faults = ParseChange(aRequest.text_, change);
  if (faults.empty()) {
    faults = CheckChange(CurrentSet(state), CurrentGeneration(state), change);
  }
  if (!faults.empty()) {
    AnswerFaults(aStep, aRequest, faults);
    return;
  }
  const std::vector<ObjectDiff> diff =
    DiffSets(CurrentSet(state), MergeChange(CurrentSet(state), change));
  AnswerOperator(aStep,
                 aRequest.id_,
                 ResultCode::Ok,
                 { { "in_force", CurrentGeneration(state).value_ },
                   { "diff", json::parse(EncodeDiff(diff)) } });
}

void
OnGet(PublishStep& aStep, const OperatorRequest& aRequest)
{
  const PublishState& state = aStep.state_;
  json::array objects;
  for (const ConfigObject& object : ListObjects(CurrentSet(state))) {
    objects.push_back(ObjectFields(object));
  }
  const std::string change =
    state.current_ == nullptr ? std::string() : state.current_->changeId_;
  AnswerOperator(aStep,
                 aRequest.id_,
                 ResultCode::Ok,
                 { { "generation", CurrentGeneration(state).value_ },
                   { "change_id", change },
                   { "confirmed", state.confirmed_ },
                   { "objects", std::move(objects) } });
}

/** Handle History and Change, which need the pointer in the store. */
void
OnStoreQuery(PublishStep& aStep, const OperatorRequest& aRequest)
{
  PublishState& state = aStep.state_;
  const Pointer& own = state.content_->pointer_;
  const bool known = aRequest.op_ == OperatorOp::Change &&
                     FindChange(own, aRequest.changeId_) != nullptr;
  if (known || state.operatorQueries_.size() >= kMaxOperatorQueries) {
    AnswerOperatorQuery(aStep, aRequest, nullptr);
    return;
  }
  StartGet(aStep,
           PointerKey(state),
           { CallPurpose::OperatorQuery, LoadPurpose::Adopt, 0 });
  const PlatformCallId call = std::get<PlatformCall>(aStep.out_.back()).id_;
  state.operatorQueries_[call] = aRequest;
}

/** Fill in the job of a request; false when it was answered at once. */
bool
MakeJob(PublishStep& aStep, const OperatorRequest& aRequest, PublishJob& aJob)
{
  ConfigFaults faults;
  if (aRequest.op_ == OperatorOp::Apply) {
    faults = ParseChange(aRequest.text_, aJob.change_);
    aJob.document_ = FormatHex(HashText(EncodeChange(aJob.change_)));
  } else {
    aJob.kind_ = JobKind::Rollback;
    aJob.rollbackTo_ = aRequest.generation_;
    aJob.document_ = "rollback-" + std::to_string(aRequest.generation_.value_);
  }
  if (!IsValidChangeId(aRequest.changeId_)) {
    AddFault(
      faults, ConfigFaultCode::ChangeIdMalformed, "change", "change_id", "");
  }
  if (!faults.empty()) {
    AnswerFaults(aStep, aRequest, faults);
    return false;
  }
  aJob.operatorRequest_ = aRequest.id_;
  aJob.changeId_ = aRequest.changeId_;
  const Pointer& own = aStep.state_.content_->pointer_;
  const HistoryEntry* known = FindChange(own, aRequest.changeId_);
  if (known != nullptr) {
    AnswerAccepted(aStep, aRequest.id_, *known, aJob.document_);
    return false;
  }
  return true;
}

void
QueueChange(PublishStep& aStep, const OperatorRequest& aRequest)
{
  PublishState& state = aStep.state_;
  PublishJob job;
  if (!MakeJob(aStep, aRequest, job)) {
    return;
  }
  if (state.stopping_ || state.jobs_.size() >= kMaxJobs) {
    AnswerOperator(aStep,
                   aRequest.id_,
                   state.stopping_ ? ResultCode::Stopping
                                   : ResultCode::Overloaded,
                   { { "change_id", aRequest.changeId_ } });
    return;
  }
  job.giveUpAt_ = aStep.now_.mono_ + state.settings_.applyTimeout_;
  state.jobs_.push_back(std::move(job));
}

} // namespace

void
HandleOperator(PublishStep& aStep, const OperatorRequest& aRequest)
{
  switch (aRequest.op_) {
    case OperatorOp::Check:
      OnCheck(aStep, aRequest);
      return;
    case OperatorOp::Apply:
    case OperatorOp::Rollback:
      QueueChange(aStep, aRequest);
      return;
    case OperatorOp::Get:
      OnGet(aStep, aRequest);
      return;
    case OperatorOp::History:
    case OperatorOp::Change:
      OnStoreQuery(aStep, aRequest);
      return;
    default:
      return;
  }
}

void
OnOperatorQueryReply(PublishStep& aStep, const PlatformReply& aReply)
{
  PublishState& state = aStep.state_;
  const auto found = state.operatorQueries_.find(aReply.id_);
  if (found == state.operatorQueries_.end()) {
    return;
  }
  const OperatorRequest request = std::move(found->second);
  state.operatorQueries_.erase(found);
  if (aReply.status_ == PlatformStatus::NotFound) {
    const Pointer none;
    AnswerOperatorQuery(aStep, request, &none);
    return;
  }
  const PlatformObject* object = ReplyObject(aReply);
  const absl::StatusOr<Pointer> pointer =
    DecodePointer(object == nullptr ? "" : object->value_);
  AnswerOperatorQuery(aStep, request, pointer.ok() ? &*pointer : nullptr);
}

} // namespace camphorfield
