// Answers to operators. A repeated change id gets the answer of the first
// request, also from another daemon.
#include "core/result_func.h"
#include "object/fault_func.h"
#include "publish/publish_internal.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

json::object
EntryFields(const Pointer& aPointer, const HistoryEntry& aEntry)
{
  json::object fields;
  fields["generation"] = aEntry.generation_.value_;
  fields["change_id"] = aEntry.changeId_;
  fields["unix_ms"] = aEntry.unixMicros_ / 1000;
  fields["can_roll_back"] = IsContentRetained(aPointer, aEntry);
  json::array objects;
  for (const std::string& name : aEntry.touched_) {
    objects.push_back(json::string(name));
  }
  fields["objects"] = std::move(objects);
  fields["objects_all"] = aEntry.touchedAll_;
  return fields;
}

void
AnswerHistory(PublishStep& aStep,
              const OperatorRequest& aRequest,
              const Pointer* aStored)
{
  const Pointer& own = aStep.state_.content_->pointer_;
  const Pointer& pointer = aStored != nullptr ? *aStored : own;
  json::array list;
  for (auto entry = pointer.history_.rbegin(); entry != pointer.history_.rend();
       ++entry) {
    list.push_back(EntryFields(pointer, *entry));
  }
  AnswerOperator(aStep,
                 aRequest.id_,
                 ResultCode::Ok,
                 { { "source", aStored != nullptr ? "store" : "daemon" },
                   { "dropped", pointer.dropped_.value_ },
                   { "history", std::move(list) } });
}

void
AnswerChange(PublishStep& aStep,
             const OperatorRequest& aRequest,
             const Pointer* aStored)
{
  const Pointer& own = aStep.state_.content_->pointer_;
  const HistoryEntry* entry = FindChange(own, aRequest.changeId_);
  if (entry == nullptr && aStored != nullptr) {
    entry = FindChange(*aStored, aRequest.changeId_);
  }
  if (entry != nullptr) {
    AnswerAccepted(aStep, aRequest.id_, *entry, entry->document_);
    return;
  }
  json::object fields{ { "change_id", aRequest.changeId_ } };
  if (aStored == nullptr) {
    fields["reason"] = "the store does not answer";
    AnswerOperator(
      aStep, aRequest.id_, ResultCode::ConfigUnknown, std::move(fields));
    return;
  }
  fields["as_of_generation"] = NewestEntry(*aStored).generation_.value_;
  fields["dropped"] = aStored->dropped_.value_;
  AnswerOperator(aStep, aRequest.id_, ResultCode::NotFound, std::move(fields));
}

} // namespace

void
AnswerOperator(PublishStep& aStep,
               OperatorRequestId aId,
               ResultCode aCode,
               json::object aFields)
{
  if (!aId.IsValid()) {
    return;
  }
  const ResultRow& row = GetResultRow(aCode);
  json::object answer;
  answer["code"] = row.number_;
  answer["result"] = row.name_;
  answer["text"] = row.text_;
  for (auto& field : aFields) {
    answer[field.key()] = std::move(field.value());
  }
  aStep.out_.emplace_back(
    OperatorAnswer{ aId, aCode, json::serialize(answer) });
}

void
AnswerAccepted(PublishStep& aStep,
               OperatorRequestId aId,
               const HistoryEntry& aEntry,
               const std::string& aDocument)
{
  if (aEntry.document_ == aDocument) {
    AnswerOperator(aStep,
                   aId,
                   ResultCode::Ok,
                   { { "change_id", aEntry.changeId_ },
                     { "generation", aEntry.generation_.value_ } });
    return;
  }
  ConfigFaults faults;
  AddFault(faults,
           ConfigFaultCode::ChangeIdReused,
           "change",
           "change_id",
           "generation " + std::to_string(aEntry.generation_.value_));
  AnswerOperator(aStep,
                 aId,
                 ResultCode::ConfigRejected,
                 { { "change_id", aEntry.changeId_ },
                   { "faults", json::parse(EncodeFaults(faults)) } });
}

void
AnswerOperatorQuery(PublishStep& aStep,
                    const OperatorRequest& aRequest,
                    const Pointer* aStored)
{
  if (aRequest.op_ == OperatorOp::History) {
    AnswerHistory(aStep, aRequest, aStored);
  } else {
    AnswerChange(aStep, aRequest, aStored);
  }
}

void
EndJob(PublishStep& aStep, ResultCode aCode, json::object aFields)
{
  const PublishJob& job = aStep.state_.jobs_.front();
  aFields["change_id"] = job.changeId_;
  aFields["in_force"] = CurrentGeneration(aStep.state_).value_;
  if (aCode == ResultCode::ConfigRejected ||
      aCode == ResultCode::ConfigConflict) {
    Record(aStep,
           TimelineKind::ConfigRejected,
           CurrentGeneration(aStep.state_).value_,
           job.changeId_,
           GetResultRow(aCode).name_);
  }
  AnswerOperator(aStep, job.operatorRequest_, aCode, std::move(aFields));
  PopJob(aStep);
}

} // namespace camphorfield
