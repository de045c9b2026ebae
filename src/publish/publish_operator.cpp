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

/** Questions that only the store's pointer answers for sure. */
void
OnAsk(PublishStep& aStep, const OperatorRequest& aRequest)
{
  PublishState& state = aStep.state_;
  const Pointer& own = state.content_->pointer_;
  const bool known = aRequest.op_ == OperatorOp::Change &&
                     FindChange(own, aRequest.changeId_) != nullptr;
  if (known || state.asks_.size() >= kMaxAsks) {
    AnswerAsk(aStep, aRequest, nullptr);
    return;
  }
  StartGet(aStep, PointerKey(state), { CallUse::Ask, LoadUse::Follow, 0 });
  const PlatformCallId call = std::get<PlatformCall>(aStep.out_.back()).id_;
  state.asks_[call] = aRequest;
}

/** A job that may be queued; false when the request was answered at once. */
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
  aJob.operator_ = aRequest.id_;
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
OnPublish(PublishStep& aStep, const OperatorRequest& aRequest)
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
      OnPublish(aStep, aRequest);
      return;
    case OperatorOp::Get:
      OnGet(aStep, aRequest);
      return;
    case OperatorOp::History:
    case OperatorOp::Change:
      OnAsk(aStep, aRequest);
      return;
    default:
      return;
  }
}

void
OnAskReply(PublishStep& aStep, const PlatformReply& aReply)
{
  PublishState& state = aStep.state_;
  const auto found = state.asks_.find(aReply.id_);
  if (found == state.asks_.end()) {
    return;
  }
  const OperatorRequest request = std::move(found->second);
  state.asks_.erase(found);
  if (aReply.status_ == PlatformStatus::NotFound) {
    const Pointer none;
    AnswerAsk(aStep, request, &none);
    return;
  }
  const PlatformObject* object = ReplyObject(aReply);
  const absl::StatusOr<Pointer> pointer =
    DecodePointer(object == nullptr ? "" : object->value_);
  AnswerAsk(aStep, request, pointer.ok() ? &*pointer : nullptr);
}

} // namespace camphorfield
